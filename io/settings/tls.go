package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// TLS names PEM files; with it hosts prove themselves to each other by certificates of a private authority, and
// operators reach them over TLS. Certificates name the IP numbers that hosts listen on.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// IsSet reports whether the hosts use TLS.
func (t *TLS) IsSet() bool { return *t != TLS{} }

// Server returns the configuration of a listener for other hosts, which must show a certificate, or for operators.
func (t *TLS) Server(hosts bool) (*tls.Config, error) {
	c, err := t.load()
	if err == nil && hosts {
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c, err
}

// Client returns the configuration for connections to other hosts.
func (t *TLS) Client() (*tls.Config, error) { return t.load() }

func (t *TLS) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "tls.certificate")
	}
	pool, err := Authority(t.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "tls.authority")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool,
	}, nil
}

// Authority reads the certificate of a private authority.
func Authority(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("%s has no certificate", path)
	}
	return pool, nil
}

func checkTLS(h *Host) (string, string) {
	if !h.TLS.IsSet() {
		return "", ""
	}
	for _, f := range []struct{ name, value string }{
		{"tls.certificate", h.TLS.Certificate}, {"tls.key", h.TLS.Key}, {"tls.authority", h.TLS.Authority},
	} {
		if f.value == "" {
			return f.name, "is missing beside the other settings of tls"
		}
	}
	return "", ""
}
