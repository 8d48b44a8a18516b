package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	rank = 8
	// fanout is the number of hosts that a host sends an item to.
	fanout = 4
	// memory is how long a host remembers an item. It is far longer than an item spreads, so that a late copy is recognized.
	memory = 5 * time.Minute
	// maxItems limits the remembered items. While there is no room, new ones are neither used nor passed on.
	maxItems = 8192
)

// rememberedItem is an item that this host has published or received.
type rememberedItem struct {
	id      core.GossipID
	expires time.Time
}

// component spreads observations from host to host.
//
// A host passes an item on only once, when it receives it for the first time, and only if another component finds it worth
// passing on. Items are told apart by the host that published them and its number, not by their age: an item that is
// forgotten at the age at which it is still passed on would circulate for ever, since its age does not grow on the way. As
// items can also be late beyond the time for which they are remembered, each copy may be passed on core.MaxGossipHops times.
type component struct {
	self   core.HostID
	boot   uint64
	rand   *rand.Rand
	number uint64
	// peers are the other entry hosts.
	peers []core.HostID
	// items has the remembered items, order the same ones by the time at which they expire.
	items   map[core.GossipID]bool
	order   []rememberedItem
	sent    int64
	dropped int64
}

func init() { core.Register(Plugin()) }

// Plugin returns the gossip plug-in.
func Plugin() core.Plugin { return core.Plugin{Name: "gossip", Rank: rank, New: newComponent} }

func newComponent(env core.Env) core.Component {
	c := &component{self: env.Self, boot: env.Boot, rand: env.Rand, items: map[core.GossipID]bool{}}
	return core.Component{Handle: c.handle, Gauges: c.gauges}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.MembersChanged:
		c.membersChanged(e.Members)
	case core.ShareObservation:
		c.publish(t, e.Observation)
	case core.PassOn:
		c.send(t, e.Item)
	case core.MessageReceived:
		if m, ok := e.Message.(core.Gossip); ok {
			c.receive(t, m.Item)
		}
	}
}

func (c *component) membersChanged(members []core.Member) {
	c.peers = nil
	for i := range members {
		if members[i].Entry && members[i].Host != c.self {
			c.peers = append(c.peers, members[i].Host)
		}
	}
}

// publish sends an observation of this host to others.
func (c *component) publish(t *core.Turn, o core.Observation) {
	c.number++
	item := core.GossipItem{
		ID: core.GossipID{Host: c.self, Boot: c.boot, Number: c.number}, Hops: core.MaxGossipHops, Observation: o,
	}
	c.remember(t.Now, item.ID)
	c.send(t, item)
}

// receive posts an item that is new to this host.
func (c *component) receive(t *core.Turn, item core.GossipItem) {
	if item.ID.Host == c.self || !c.remember(t.Now, item.ID) {
		return
	}
	t.Post(core.ObservationReceived{Item: item})
}

// remember stores an item's ID and reports whether it is new and there was room for it.
func (c *component) remember(now time.Time, id core.GossipID) bool {
	expired := 0
	for expired < len(c.order) && core.Due(c.order[expired].expires, now) {
		delete(c.items, c.order[expired].id)
		expired++
	}
	c.order = slices.Delete(c.order, 0, expired)
	if c.items[id] {
		return false
	}
	if len(c.items) >= maxItems {
		c.dropped++
		return false
	}
	c.items[id] = true
	c.order = append(c.order, rememberedItem{id: id, expires: now.Add(memory)})
	return true
}

// send sends an item to a few random hosts if it may be passed on.
func (c *component) send(t *core.Turn, item core.GossipItem) {
	if item.Hops == 0 {
		return
	}
	item.Hops--
	others := slices.Clone(c.peers)
	for range min(fanout, len(others)) {
		i := c.rand.IntN(len(others))
		t.Send(others[i], core.Gossip{Item: item})
		c.sent++
		others = slices.Delete(others, i, i+1)
	}
}

func (c *component) gauges(set func(string, int64)) {
	set("items", int64(len(c.items)))
	set("sent", c.sent)
	set("dropped", c.dropped)
}
