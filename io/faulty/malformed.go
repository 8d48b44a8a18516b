package faulty

import "fmt"

// Malformed is a response whose header is not in the syntax of HTTP/1.1.
type Malformed struct{ Name, Text string }

// okLine is the status line of a success, without its line end.
const okLine = "HTTP/1.1 200 OK"

// MalformedHeaders returns responses that are complete but for one fault in their header. headers are added to each header,
// with their line ends.
func MalformedHeaders(headers, body string) []Malformed {
	length := fmt.Sprintf("Content-Length: %d", len(body))
	var responses []Malformed
	add := func(name, statusLine, line string) {
		responses = append(responses, Malformed{name, statusLine + "\r\n" + headers + line + "\r\n\r\n" + body})
	}
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		add("status "+status, "HTTP/1.1 "+status+" OK", length)
	}
	for _, line := range []string{okLine + "\x01", okLine + "\x00", okLine + "\rX-B: c", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK"} {
		add(fmt.Sprintf("status line %q", line), line, length)
	}
	for _, f := range malformedFields {
		add(f.name, okLine, length+"\r\n"+f.line)
	}
	add("blank before the first name", okLine+"\r\n X-B: c", length)
	// These headers seem to have no length.
	for _, name := range []string{"Content Length", "Content-Length ", "Content-Length\t", "Content-\x01Length", "Content-Length\x7f"} {
		add(fmt.Sprintf("length as %q", name), okLine, fmt.Sprintf("%s: %d", name, len(body)))
	}
	add("length in the status line", okLine+"\r"+length, "X-B: c")
	return append(responses, undecodedChunks(headers, body)...)
}

// malformedFields are header lines whose name is no token.
var malformedFields = []struct{ name, line string }{
	{"blank in a name", "X B: c"},
	{"blank after a name", "X-B : c"},
	{"tab in a name", "X\tB: c"},
	{"NUL in a name", "X\x00B: c"},
	{"control byte in a name", "X\x1fB: c"},
	{"control byte in a folded field", "X\x1fB: c\r\n d"},
	{"blank in the name of a folded field", "X B: c\r\n d"},
	{"CR in a name", "X\rB: c"},
	{"DEL in a name", "X\x7fB: c"},
	{"byte above 127 in a name", "X\xe9B: c"},
	{"separator in a name", "X(B): c"},
	{"no name", ": c"},
	{"no colon", "X-B"},
}

// undecodedChunks returns responses in chunks whose version has none, or none that clients must know.
func undecodedChunks(headers, body string) []Malformed {
	var responses []Malformed
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2"} {
		text := fmt.Sprintf("%s 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", version, headers, len(body), body)
		responses = append(responses, Malformed{"chunks in " + version, text})
	}
	return responses
}
