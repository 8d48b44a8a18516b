package bearer

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

const (
	headerName = "Authorization"
	scheme     = "Bearer "
)

// Value returns the Authorization header value for a secret.
func Value(secret string) string { return scheme + secret }

// Matches reports whether a header value carries the secret. The comparison takes constant time.
func Matches(value []byte, secret string) bool {
	return subtle.ConstantTimeCompare(value, []byte(Value(secret))) == 1
}

// Secret returns the bearer secret of a request, or an empty string.
func Secret(r *http.Request) string {
	secret, ok := strings.CutPrefix(r.Header.Get(headerName), scheme)
	if !ok {
		return ""
	}
	return secret
}

// WriteUnauthorized responds with status 401.
func WriteUnauthorized(w http.ResponseWriter) {
	http.Error(w, "wrong or missing credentials", http.StatusUnauthorized)
}

// Transport adds a bearer secret to each request. An empty secret adds no header.
type Transport struct {
	Base   *http.Transport
	Secret string
}

// RoundTrip implements http.RoundTripper. It leaves r unchanged and sends a copy with the secret.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.Secret != "" {
		r = r.Clone(r.Context())
		r.Header.Set(headerName, Value(t.Secret))
	}
	return t.Base.RoundTrip(r)
}
