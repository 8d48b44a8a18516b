package control

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"oleanderlever/core"
	"oleanderlever/io/settings"
)

// Host is what the peers of one host share while they are opened.
type Host struct {
	Settings *settings.Host
	Loop     *Loop
	Log      zerolog.Logger
	// Asker asks the kernel questions that an action answers.
	Asker *Asker
	// Env becomes the kernel's; peers of low rank fill it in.
	Env core.Env
}

// Peer is a plug-in that translates between the kernel and one kind of partner.
type Peer struct {
	Name string
	// Rank orders the opening of peers; they are closed the other way round.
	Rank int
	// Open claims files and ports. The kernel does not run yet.
	Open func(h *Host) (Instance, error)
}

// Instance is a peer of one host; any of its function fields may be nil.
type Instance struct {
	// Start begins to serve.
	Start func()
	// Do performs an action of the kernel if it is this peer's, on the control goroutine and without blocking.
	Do func(a core.Action)
	// Close frees files and ports.
	Close func()
}

var registry []Peer

// Register adds a peer; peers call it from their init function. It panics on a second peer of the same name.
func Register(p Peer) {
	if slices.ContainsFunc(registry, func(q Peer) bool { return q.Name == p.Name }) {
		panic(fmt.Sprintf("control: peer %q is registered twice", p.Name))
	}
	registry = append(registry, p)
}

// Peers returns the registered peers by rank, then by name.
func Peers() []Peer {
	all := slices.Clone(registry)
	slices.SortFunc(all, func(a, b Peer) int {
		if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all
}
