package bearer

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

const (
	header = "Authorization"
	scheme = "Bearer "
)

// Value returns what the header must be for a secret.
func Value(secret string) string { return scheme + secret }

// Is reports whether a header's value has the secret, in a time that does not depend on how much of it is right.
func Is(value []byte, secret string) bool {
	return subtle.ConstantTimeCompare(value, []byte(Value(secret))) == 1
}

// Secret returns the secret of a request, or an empty text.
func Secret(r *http.Request) string {
	secret, ok := strings.CutPrefix(r.Header.Get(header), scheme)
	if !ok {
		return ""
	}
	return secret
}

// Refuse answers a request whose credentials are wrong or missing.
func Refuse(w http.ResponseWriter) {
	http.Error(w, "wrong or missing credentials", http.StatusUnauthorized)
}

// Transport adds a secret to each request.
type Transport struct {
	Base   *http.Transport
	Secret string
}

// RoundTrip sends a copy of a request with the secret.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.Secret != "" {
		r = r.Clone(r.Context())
		r.Header.Set(header, Value(t.Secret))
	}
	return t.Base.RoundTrip(r)
}
