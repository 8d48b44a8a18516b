package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderlever/core"
	"oleanderlever/io/bearer"
)

const (
	requestTimeout = 15 * time.Second
	commandIDBytes = 16
	apiKeyBytes    = 32
	// apiKeyPrefix lets people and secret scanners recognise an API key.
	apiKeyPrefix = "ol_"
	pollInterval = 100 * time.Millisecond
)

// Client calls the operator API of one host.
type Client struct{ rpc Operator }

// NewClient returns a client for the host at addr. The secret may be empty if the host has no operators configured.
func NewClient(addr netip.AddrPort, secret string) *Client {
	return newClient("http://"+addr.String(), &http.Transport{}, secret)
}

// NewTLSClient returns a client for a host that uses TLS with a certificate that authority has issued.
func NewTLSClient(addr netip.AddrPort, secret string, authority *x509.CertPool) *Client {
	base := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authority}}
	return newClient("https://"+addr.String(), base, secret)
}

func newClient(url string, base *http.Transport, secret string) *Client {
	h := &http.Client{Timeout: requestTimeout, Transport: &bearer.Transport{Base: base, Secret: secret}}
	return &Client{rpc: NewOperatorProtobufClient(url, h)}
}

// Apply makes a change under a new command ID if the configuration still has the expected version, and returns the new
// version. It retries transport errors and unknown outcomes under the same ID, so that the change is made once.
func (c *Client) Apply(ctx context.Context, expectedVersion core.ConfigVersion, change *Change) (core.ConfigVersion, error) {
	id, err := newCommandID()
	if err != nil {
		return 0, err
	}
	request := &ApplyRequest{CommandId: id, ExpectVersion: uint64(expectedVersion), Change: change}
	for {
		reply, err := c.rpc.Apply(ctx, request)
		if err == nil {
			return core.ConfigVersion(reply.GetVersion()), nil
		}
		if k, ok := KindOf(err); (ok && k != core.KindOutcomeUnknown) || ctx.Err() != nil {
			return 0, err
		}
		if !sleep(ctx, pollInterval) {
			return 0, errors.Wrapf(err, "command %s", id)
		}
	}
}

// Change applies a change to the current version and returns the new version. It retries after a version conflict, so
// use it only for changes that do not depend on a configuration that was read before.
func (c *Client) Change(ctx context.Context, change *Change) (core.ConfigVersion, error) {
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return 0, err
		}
		v, err := c.Apply(ctx, core.ConfigVersion(status.GetVersion()), change)
		if k, _ := KindOf(err); k != core.KindVersionConflict {
			return v, err
		}
	}
}

// Status returns the state of the whole system.
func (c *Client) Status(ctx context.Context) (*StatusReply, error) {
	return c.rpc.GetStatus(ctx, &StatusRequest{})
}

// Drain shuts the host down gracefully.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.rpc.Drain(ctx, &DrainRequest{})
	return err
}

// WaitUntilActive waits until a version is active on every host. If ctx ends first, it returns an error and the hosts
// with older versions.
func (c *Client) WaitUntilActive(ctx context.Context, v core.ConfigVersion) ([]string, error) {
	var outdated []string
	for {
		status, err := c.Status(ctx)
		if err == nil && core.ConfigVersion(status.GetInForce()) >= v {
			return nil, nil
		}
		if err == nil {
			outdated = outdatedHosts(status, v)
		}
		if !sleep(ctx, pollInterval) {
			return outdated, errors.Newf("version %d is not active on every host", v)
		}
	}
}

func outdatedHosts(s *StatusReply, v core.ConfigVersion) []string {
	var out []string
	for _, h := range s.GetHolders() {
		if core.ConfigVersion(h.GetVersion()) < v {
			out = append(out, h.GetHost())
		}
	}
	return out
}

// sleep waits for d and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func newCommandID() (string, error) {
	var b [commandIDBytes]byte
	_, err := rand.Read(b[:])
	return hex.EncodeToString(b[:]), errors.Wrap(err, "command ID")
}

// NewKey returns a random API key, which should be shown only once, and the hash that the system stores.
func NewKey() (apiKey string, hash core.KeyHash, err error) {
	var b [apiKeyBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", hash, errors.Wrap(err, "API key")
	}
	apiKey = apiKeyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
	return apiKey, sha256.Sum256([]byte(apiKey)), nil
}
