package faulty

import "fmt"

// Malformed is a response whose header is not in the syntax of HTTP/1.1.
type Malformed struct{ Name, Text string }

// MalformedHeaders returns responses that are complete but for one fault in their header. headers are added to each header,
// with their line ends.
func MalformedHeaders(headers, body string) []Malformed {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	end := "\r\n" + body
	var responses []Malformed
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		responses = append(responses, Malformed{"status " + status, "HTTP/1.1 " + status + " OK\r\n" + headers + length + end})
	}
	for _, f := range malformedFields {
		responses = append(responses, Malformed{f.name, statusLine + headers + length + f.line + end})
	}
	responses = append(responses, Malformed{"blank before the first name", statusLine + " X-B: c\r\n" + headers + length + end})
	for _, line := range []string{"HTTP/1.1 200 OK\x01", "HTTP/1.1 200 OK\x00", "HTTP/1.1 200 OK\rX-B: c", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK"} {
		responses = append(responses, Malformed{fmt.Sprintf("status line %q", line), line + "\r\n" + headers + length + end})
	}
	// In these responses, a line that says where the body ends is lost, or is no such line.
	for _, name := range []string{"Content Length", "Content-Length ", "Content-Length\t", "Content-\x01Length", "Content-Length\x7f"} {
		line := fmt.Sprintf("%s: %d\r\n", name, len(body))
		responses = append(responses, Malformed{fmt.Sprintf("length as %q", name), statusLine + headers + line + end})
	}
	responses = append(responses, Malformed{"length in the status line", "HTTP/1.1 200 OK\r" + length + headers + end})
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2"} {
		responses = append(responses, Malformed{"chunks in " + version, fmt.Sprintf("%s 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", version, headers, len(body), body)})
	}
	return responses
}

// malformedFields are header lines whose name is no token.
var malformedFields = []struct{ name, line string }{
	{"blank in a name", "X B: c\r\n"},
	{"blank after a name", "X-B : c\r\n"},
	{"tab in a name", "X\tB: c\r\n"},
	{"NUL in a name", "X\x00B: c\r\n"},
	{"control byte in a name", "X\x1fB: c\r\n"},
	{"control byte in a folded field", "X\x1fB: c\r\n d\r\n"},
	{"blank in the name of a folded field", "X B: c\r\n d\r\n"},
	{"CR in a name", "X\rB: c\r\n"},
	{"DEL in a name", "X\x7fB: c\r\n"},
	{"byte above 127 in a name", "X\xe9B: c\r\n"},
	{"separator in a name", "X(B): c\r\n"},
	{"no name", ": c\r\n"},
	{"no colon", "X-B\r\n"},
}
