package control

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"oleanderlever/core"
	"oleanderlever/io/http1"
	"oleanderlever/io/settings"
)

// Host holds what the peers of one host share while they are opened.
type Host struct {
	Settings *settings.Host
	Loop     *Loop
	Log      zerolog.Logger
	// Requester sends requests to the kernel and waits for their responses.
	Requester *Requester
	// Bodies limits the bodies of requests and responses that all peers keep in memory.
	Bodies *http1.MemoryBudget
	// Env is the environment for the new kernel; peers of low rank set some of its fields.
	Env core.Env
}

// Peer is a plug-in that connects the kernel to one kind of external system.
type Peer struct {
	Name string
	// Rank is the position in the order in which peers are opened; they are closed in reverse order.
	Rank int
	// Open opens files and ports. It is called before the kernel is created.
	Open func(h *Host) (Instance, error)
}

// Instance is an open peer of one host. Any of its function fields may be nil.
type Instance struct {
	// Start starts the peer's goroutines, after the kernel has been started.
	Start func()
	// Perform performs an action if it belongs to this peer and ignores others. It is called on the control goroutine and
	// must not block.
	Perform func(a core.Action)
	// Drain waits until the responses to all requests that the kernel has finished are written, or the context ends.
	Drain func(ctx context.Context)
	// Close stops the peer and closes its files and ports.
	Close func()
}

var registeredPeers []Peer

// Register registers a peer; it is called from init functions. It panics if a peer of the same name is registered.
func Register(p Peer) {
	if slices.ContainsFunc(registeredPeers, func(other Peer) bool { return other.Name == p.Name }) {
		panic(fmt.Sprintf("control: peer %q is registered twice", p.Name))
	}
	registeredPeers = append(registeredPeers, p)
}

// Peers returns the registered peers in order of rank, then name.
func Peers() []Peer {
	all := slices.Clone(registeredPeers)
	slices.SortFunc(all, func(a, b Peer) int {
		if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all
}
