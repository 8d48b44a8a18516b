package http1

import "github.com/cespare/xxhash/v2"

// ContentHash returns a hash of a request's method, path with query, and body. Hosts store it with idempotency records, so it must
// stay the same in later versions.
func ContentHash(method, uri, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(method)
	_, _ = d.WriteString(" ")
	_, _ = d.Write(uri)
	_, _ = d.WriteString("\n")
	_, _ = d.Write(body)
	return d.Sum64()
}
