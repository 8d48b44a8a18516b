package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// TLS names the PEM files for mutual TLS between hosts and for TLS connections of operators. The certificates are
// issued by a private certificate authority and contain the IP addresses on which the hosts listen.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// IsSet reports whether TLS is configured.
func (t *TLS) IsSet() bool { return *t != TLS{} }

// ServerConfig returns the configuration of a listener. Client certificates are required and
// verified if requireClientCert is true.
func (t *TLS) ServerConfig(requireClientCert bool) (*tls.Config, error) {
	c, err := t.load()
	if err == nil && requireClientCert {
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c, err
}

// ClientConfig returns the configuration for connections to other hosts.
func (t *TLS) ClientConfig() (*tls.Config, error) { return t.load() }

func (t *TLS) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "tls.certificate")
	}
	pool, err := LoadCAs(t.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "tls.authority")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool,
	}, nil
}

// LoadCAs reads the certificates of a private certificate authority from a PEM file.
func LoadCAs(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("%s contains no certificate", path)
	}
	return pool, nil
}

func validateTLS(h *Host) (string, string) {
	if !h.TLS.IsSet() {
		return "", ""
	}
	for _, f := range []struct{ name, value string }{
		{"tls.certificate", h.TLS.Certificate}, {"tls.key", h.TLS.Key}, {"tls.authority", h.TLS.Authority},
	} {
		if f.value == "" {
			return f.name, "is missing; the tls settings must be set together"
		}
	}
	return "", ""
}
