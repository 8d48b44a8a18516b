package faulty

import "fmt"

// Malformed is a response whose header is not in the syntax of HTTP/1.1.
type Malformed struct{ Name, Text string }

// MalformedHeaders returns responses that are complete but for one fault in their header. headers are added to each header,
// with their line ends.
func MalformedHeaders(headers, body string) []Malformed {
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
	var responses []Malformed
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		responses = append(responses, Malformed{Name: "status " + status, Text: "HTTP/1.1 " + status + " OK\r\n" + framed})
	}
	return responses
}
