package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderlever/core"
)

const (
	rank = 57
	// maxStreams limits the streams that a host remembers; beyond it the oldest are forgotten.
	maxStreams = 65536
	// copies is the number of replicas that are told of a stream. Two of them may restart before its caller takes it up.
	copies = 3
	// maxAskedPeers limits the entry hosts that are asked besides the replicas. One of them may have the stream while its message
	// to the replicas is lost.
	maxAskedPeers = 16
	// A search ends after searchTimeout. Hosts that have not answered are asked again every resendInterval.
	searchTimeout  = 300 * time.Millisecond
	resendInterval = 80 * time.Millisecond
	maxSearches    = 4096
	// saveInterval is how long a replica collects new streams before it saves them.
	saveInterval = 100 * time.Millisecond
	// All streams are saved anew once saveFactor times as many were added, and minAdded at least.
	saveFactor = 2
	minAdded   = 1024
)

// record is what is remembered of a stream.
type record struct {
	version core.SoftwareVersion
	expires time.Time
}

// search is the search for the version that began the stream of a request.
type search struct {
	stream core.RequestID
	// asked has the hosts that were asked, with true for those that have answered.
	asked    map[core.HostID]bool
	resendAt time.Time
	deadline time.Time
}

// component keeps the versions of the streams that began on its host, and on a replica those of other hosts too. A host that gets a
// take-up asks the others: that which served the stream may have ended.
type component struct {
	self      core.HostID
	isReplica bool
	streams   map[core.RequestID]record
	// order has the remembered streams by the time at which they were last recorded.
	order    []core.RequestID
	searches map[core.RequestID]*search
	// replicas are the other hosts with a data directory, peers the other entry hosts.
	replicas, peers []core.HostID
	found, missed   int64
	// stored are the origins that the data directory held at the start. unsaved are the streams to be saved at saveAt, and added is
	// the number of those that were added since all were saved; negative means that they never were.
	stored  []core.StreamOrigin
	unsaved []core.RequestID
	saveAt  time.Time
	added   int
}

func init() { core.Register(Plugin()) }

// Plugin returns the origin plug-in.
func Plugin() core.Plugin { return core.Plugin{Name: "origin", Rank: rank, New: newComponent} }

func newComponent(env core.Env) core.Component {
	c := &component{
		self: env.Self, isReplica: env.Disk != "", streams: map[core.RequestID]record{}, searches: map[core.RequestID]*search{},
		stored: env.StoredState.Notes.Origins, added: -1,
	}
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Gauges: c.gauges}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.Started:
		for i := range c.stored {
			c.remember(t.Now, c.stored[i].Stream, c.stored[i].Version, c.stored[i].Remaining)
		}
		c.stored = nil
	case core.StreamBegan:
		c.remember(t.Now, e.Stream, e.Version, e.TTL)
		for _, h := range c.holders(e.Stream) {
			t.Send(h, core.StreamOrigin{Stream: e.Stream, Version: e.Version, Remaining: e.TTL})
		}
	case core.FindOrigin:
		c.find(t, e)
	case core.MembersChanged:
		c.membersChanged(t, e.Members)
	case core.Tick:
		c.tick(t)
	case core.MessageReceived:
		switch m := e.Message.(type) {
		case core.StreamOrigin:
			c.remember(t.Now, m.Stream, m.Version, m.Remaining)
		case core.OriginQuery:
			version, known := c.lookUp(t.Now, m.Stream)
			t.Send(e.From, core.OriginReply{Request: m.Request, Stream: m.Stream, Version: version, Known: known})
		case core.OriginReply:
			c.replyReceived(t, e.From, m)
		}
	}
}

func (c *component) remember(now time.Time, stream core.RequestID, version core.SoftwareVersion, ttl time.Duration) {
	if _, known := c.streams[stream]; !known {
		c.makeRoom(now)
		c.order = append(c.order, stream)
	}
	c.streams[stream] = record{version: version, expires: now.Add(ttl)}
	if c.isReplica {
		c.unsaved = append(c.unsaved, stream)
		c.saveAt = core.Earlier(c.saveAt, now.Add(saveInterval))
	}
}

// save saves the streams that were added since the last time, or all.
func (c *component) save(t *core.Turn) {
	streams, all := c.unsaved, c.added < 0 || c.added+len(c.unsaved) > max(minAdded, saveFactor*len(c.streams))
	c.added += len(c.unsaved)
	if all {
		streams, c.added = c.order, 0
	}
	var origins []core.StreamOrigin
	for _, stream := range streams {
		if r := c.streams[stream]; t.Now.Before(r.expires) {
			origins = append(origins, core.StreamOrigin{Stream: stream, Version: r.version, Remaining: r.expires.Sub(t.Now)})
		}
	}
	c.unsaved, c.saveAt = nil, time.Time{}
	t.Emit(core.SaveOrigins{Origins: origins, Complete: all})
}

// makeRoom forgets the streams at the head of the order that have expired, and the first one if there are too many.
func (c *component) makeRoom(now time.Time) {
	forgotten := 0
	for forgotten < len(c.order) && (core.Due(c.streams[c.order[forgotten]].expires, now) || len(c.streams) >= maxStreams) {
		delete(c.streams, c.order[forgotten])
		forgotten++
	}
	c.order = slices.Delete(c.order, 0, forgotten)
}

func (c *component) lookUp(now time.Time, stream core.RequestID) (core.SoftwareVersion, bool) {
	r, ok := c.streams[stream]
	return r.version, ok && now.Before(r.expires)
}

// holders returns the replicas that are told of a stream, chosen by rendezvous hashing.
func (c *component) holders(stream core.RequestID) []core.HostID {
	sorted := slices.SortedFunc(slices.Values(c.replicas), func(a, b core.HostID) int {
		return cmp.Or(cmp.Compare(hash(stream, b), hash(stream, a)), cmp.Compare(a, b))
	})
	return sorted[:min(copies, len(sorted))]
}

func hash(stream core.RequestID, h core.HostID) uint64 {
	return xxhash.Sum64String(string(stream) + "\x00" + string(h))
}

func (c *component) find(t *core.Turn, e core.FindOrigin) {
	version, known := c.lookUp(t.Now, e.Stream)
	isAlone := c.isReplica && len(c.replicas)+len(c.peers) == 0
	if known || isAlone || len(c.searches) >= maxSearches {
		c.end(t, e.Request, version, known)
		return
	}
	s := &search{stream: e.Stream, asked: map[core.HostID]bool{}, deadline: t.Now.Add(searchTimeout)}
	c.searches[e.Request] = s
	c.ask(t, e.Request, s)
}

// ask asks the hosts that have not answered.
func (c *component) ask(t *core.Turn, request core.RequestID, s *search) {
	s.resendAt = t.Now.Add(resendInterval)
	for _, h := range slices.Concat(c.replicas, c.peers[:min(maxAskedPeers, len(c.peers))]) {
		if !s.asked[h] {
			s.asked[h] = false
			t.Send(h, core.OriginQuery{Request: request, Stream: s.stream})
		}
	}
}

// replyReceived ends a search with the first host that knows the stream, or once all have said that they don't.
func (c *component) replyReceived(t *core.Turn, from core.HostID, m core.OriginReply) {
	s := c.searches[m.Request]
	if s == nil || s.stream != m.Stream {
		return
	}
	s.asked[from] = true
	if m.Known || !slices.Contains(slices.Collect(maps.Values(s.asked)), false) {
		c.end(t, m.Request, m.Version, m.Known)
	}
}

func (c *component) end(t *core.Turn, request core.RequestID, version core.SoftwareVersion, known bool) {
	delete(c.searches, request)
	if known {
		c.found++
	} else {
		c.missed++
	}
	t.Post(core.OriginFound{Request: request, Version: version, Known: known})
}

func (c *component) membersChanged(t *core.Turn, members []core.Member) {
	c.replicas, c.peers = nil, nil
	for i := range members {
		switch m := &members[i]; {
		case m.Host == c.self:
		case m.Disk != "":
			c.replicas = append(c.replicas, m.Host)
		case m.Entry:
			c.peers = append(c.peers, m.Host)
		}
	}
	// A host that has just started learns of the others while requests already wait.
	for _, request := range slices.Sorted(maps.Keys(c.searches)) {
		if s := c.searches[request]; len(s.asked) == 0 {
			c.ask(t, request, s)
		}
	}
}

func (c *component) tick(t *core.Turn) {
	if core.Due(c.saveAt, t.Now) {
		c.save(t)
	}
	for _, request := range slices.Sorted(maps.Keys(c.searches)) {
		switch s := c.searches[request]; {
		case core.Due(s.deadline, t.Now):
			c.end(t, request, "", false)
		case core.Due(s.resendAt, t.Now):
			c.ask(t, request, s)
		}
	}
}

func (c *component) nextDeadline() time.Time {
	next := c.saveAt
	for _, s := range c.searches {
		next = core.Earlier(next, core.Earlier(s.deadline, s.resendAt))
	}
	return next
}

func (c *component) gauges(set func(string, int64)) {
	set("streams", int64(len(c.streams)))
	set("found", c.found)
	set("missed", c.missed)
}
