package soak_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/soak"
)

// echo answers every byte with itself.
func echo(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// comes reports whether a byte that is sent comes back within a while; broken is true where the connection ended.
func comes(c net.Conn) (back, broken bool) {
	if _, err := c.Write([]byte("x")); err != nil {
		return false, true
	}
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err == nil, err != nil && (!ok || !timeout.Timeout())
}

// Each disturbance does to open and to new connections what its name says, and ends.
func TestProxyDisturbs(t *testing.T) {
	type seen struct{ back, broken bool }
	for name, c := range map[string]struct {
		disturb         func(p *soak.Proxy)
		open, fresh     seen
		openAfterwards  bool
		freshAfterwards bool
	}{
		"open":    {func(*soak.Proxy) {}, seen{back: true}, seen{back: true}, true, true},
		"slow":    {func(p *soak.Proxy) { p.Set(soak.MoodSlow) }, seen{back: true}, seen{back: true}, true, true},
		"cut":     {func(p *soak.Proxy) { p.Set(soak.MoodCut) }, seen{}, seen{}, true, true},
		"one way": {func(p *soak.Proxy) { p.Set(soak.MoodOneWay) }, seen{}, seen{}, true, true},
		"reset":   {func(p *soak.Proxy) { p.Reset() }, seen{broken: true}, seen{back: true}, false, true},
		"silence": {func(p *soak.Proxy) { p.Silence() }, seen{}, seen{back: true}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := soak.NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), echo(t))
			require.NoError(t, err)
			defer p.Close()
			open := dial(t, p)
			back, _ := comes(open)
			require.True(t, back, "before")
			c.disturb(p)
			check := func(conn net.Conn, want seen) {
				back, broken := comes(conn)
				require.Equal(t, want, seen{back, broken})
			}
			check(open, c.open)
			fresh := dial(t, p)
			check(fresh, c.fresh)
			p.Set(soak.MoodOpen)
			back, _ = comes(open)
			require.Equal(t, c.openAfterwards, back)
			back, _ = comes(fresh)
			require.Equal(t, c.freshAfterwards, back)
		})
	}
}

func dial(t *testing.T, p *soak.Proxy) net.Conn {
	c, err := net.DialTimeout("tcp", p.Addr().String(), time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}
