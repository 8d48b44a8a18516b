package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/io/daemon"
	"oleanderlever/io/operator"
	"oleanderlever/io/settings"
)

// certificateAuthority issues certificates for the hosts of a test.
type certificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	path string
}

func template(t *testing.T, name string, serial int64) *x509.Certificate {
	addr, err := daemon.FreeAddr()
	require.NoError(t, err)
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{addr.Addr().AsSlice()},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func writePEM(t *testing.T, dir, name, kind string, der []byte) string {
	path := filepath.Join(dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

func newAuthority(t *testing.T, dir string) *certificateAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := template(t, "authority", 1)
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &certificateAuthority{cert: cert, key: key, path: writePEM(t, dir, "authority.pem", "CERTIFICATE", der)}
}

func (a *certificateAuthority) issue(t *testing.T, dir, name string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template(t, name, 2), a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return settings.TLS{
		Certificate: writePEM(t, dir, name+".pem", "CERTIFICATE", der),
		Key:         writePEM(t, dir, name+"-key.pem", "EC PRIVATE KEY", private), Authority: a.path,
	}
}

// Hosts with certificates of the same authority form a system. A host refuses connections without a certificate or with
// one of another authority.
func TestHostsAuthenticateWithCertificates(t *testing.T) {
	dir := t.TempDir()
	authority, otherAuthority := newAuthority(t, dir), newAuthority(t, t.TempDir())
	s := startSystem(t, 3, t.TempDir(), func(h *settings.Host) { h.TLS = authority.issue(t, dir, h.Host) })
	pool, err := settings.LoadCAs(authority.path)
	require.NoError(t, err)
	s.operator = operator.NewTLSClient(s.Settings[0].Listen.Operators, "", pool)
	s.change(&operator.Change{Change: &operator.Change_PutAccount{PutAccount: &operator.Account{Id: "a", Weight: 1}}})
	s.eventually(func() bool {
		status, err := s.operator.Status(context.Background())
		return err == nil && len(status.GetHolders()) == 3 && len(status.GetKeepers()) == 3
	})
	untrusted := otherAuthority.issue(t, t.TempDir(), "untrusted")
	pair, err := tls.LoadX509KeyPair(untrusted.Certificate, untrusted.Key)
	require.NoError(t, err)
	for name, certs := range map[string][]tls.Certificate{"none": nil, "of another authority": {pair}} {
		conn, err := tls.Dial("tcp", s.Settings[0].Listen.Hosts.String(), &tls.Config{RootCAs: pool, Certificates: certs})
		if err == nil {
			// With TLS 1.3 the client learns of the server's rejection at the first read.
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
			_, err = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		require.ErrorContains(t, err, "certificate", name)
	}
}
