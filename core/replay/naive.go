package replay

import (
	"slices"

	"oleanderlever/core"
)

// naiveRank is the rank of the dispatcher, which the baseline replaces.
const naiveRank = 60

// naiveDispatcher is the baseline: it places requests on engines round-robin, in order of arrival and without
// reservations. If an engine is full, it rejects the request, which starts again with a prefill on the next engines.
type naiveDispatcher struct {
	prefill, decode, service []core.Announcement
	next                     int
}

// naivePlugin returns the plug-in that replaces the dispatcher.
func naivePlugin() core.Plugin {
	return core.Plugin{Name: "naive", Rank: naiveRank, New: func(core.Env) core.Component {
		n := &naiveDispatcher{}
		return core.Component{Handle: n.handle}
	}}
}

func (n *naiveDispatcher) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.UpstreamAnnounced:
		n.announced(e.Announcement)
	case core.MessageReceived:
		switch m := e.Message.(type) {
		case core.PlacementRequest:
			n.place(t, e.From, m)
		case core.PlacementRelease:
			t.Send(e.From, core.PlacementReleaseAck{Attempt: m.Attempt, PrefillOnly: m.PrefillOnly})
			n.cancel(t, m)
		}
	}
}

func (n *naiveDispatcher) announced(a core.Announcement) {
	list := &n.service
	switch {
	case a.Role.CanPrefill():
		list = &n.prefill
	case a.Role.CanDecode():
		list = &n.decode
	}
	i := slices.IndexFunc(*list, func(b core.Announcement) bool { return b.ID == a.ID })
	if i < 0 {
		*list = append(*list, a)
		return
	}
	(*list)[i] = a
}

func (n *naiveDispatcher) place(t *core.Turn, from core.HostID, m core.PlacementRequest) {
	n.next++
	p := core.PlacementGrant{Attempt: m.Attempt, Pool: m.Pool}
	if m.PlainService && len(n.service) > 0 {
		s := n.service[n.next%len(n.service)]
		p.Decode, p.DecodeAddr = s.ID, s.Addr
		t.Send(from, p)
		return
	}
	if m.PlainService || len(n.prefill) == 0 || len(n.decode) == 0 {
		return
	}
	a, b := n.prefill[n.next%len(n.prefill)], n.decode[n.next%len(n.decode)]
	p.Prefill, p.PrefillAddr, p.Decode, p.DecodeAddr = a.ID, a.Addr, b.ID, b.Addr
	t.Send(from, p)
}

// cancel cancels the attempt on every engine, since the baseline does not remember where it ran.
func (n *naiveDispatcher) cancel(t *core.Turn, m core.PlacementRelease) {
	if !m.Cancel {
		return
	}
	for _, a := range slices.Concat(n.prefill, n.decode) {
		t.Emit(core.CancelAttempt{Attempt: m.Attempt, Addr: a.Addr})
	}
}
