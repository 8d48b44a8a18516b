package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	rank = 55
	// crashThreshold is the number of crashes, at minEngines different engines or more, after which a part that has never
	// been in a complete response is quarantined. Fewer could be a coincidence while several engines crash for other reasons.
	crashThreshold = 3
	minEngines     = 2
	// maxCrashes limits the crashes that are remembered for a part.
	maxCrashes = 8
	// settleTime is how long the other hosts' reports of the same crash are waited for before the parts are compared.
	settleTime = 50 * time.Millisecond
	// minRestart is the shortest time between two crashes of one engine: the streams that end within it ended by one crash.
	minRestart = 2 * time.Second
	// crashTTL is how long a crash counts, soundTTL how long a complete response shows that its parts crash no engine.
	crashTTL = 5 * time.Minute
	soundTTL = time.Minute
	// quarantineTime is how long a part is quarantined. The crashes are still remembered then, so that the next one begins
	// another quarantine.
	quarantineTime = 4 * time.Minute
	// maxSuspects and maxSound limit the parts that are tracked, maxQuarantines the sets in quarantine.
	maxSuspects    = 4096
	maxSound       = 16384
	maxQuarantines = 256
	// maxReportsPerCrash limits the streams that a host reports for one crash.
	maxReportsPerCrash = 8
	// toldReplicas is the number of replicas that each host tells of a new quarantine.
	toldReplicas = 2
)

// crash is an engine crash with a stream that had the part.
type crash struct {
	engine core.UpstreamID
	at     time.Time
	// request is the fingerprint of the only request with the part that saw the crash, or zero if there are several or it is
	// not known.
	request uint64
}

// suspect is a part of streams that ended by a crash before they had produced more than an event.
type suspect struct{ crashes []crash }

// quarantine keeps requests away that have all of its parts. There are several if the same crashes saw them all, so that it
// is not known which one is the cause.
type quarantine struct {
	parts []uint64
	until time.Time
}

// component finds the parts by the crashes that all hosts report to each other.
//
// A request that crashes an engine takes others with it, and most of its parts are in sound requests too. So a part is
// suspected by every crash that a stream with it saw at its start, and is cleared by a complete response on any host. Of the
// parts that are left, a crash is put down to those that have seen the most.
type component struct {
	self     core.HostID
	suspects map[uint64]*suspect
	// quarantines are those in force.
	quarantines []quarantine
	// sound has the parts of complete responses, with the time of the latest one.
	sound map[uint64]time.Time
	// announced has the time at which this host last told others that a part is sound.
	announced map[uint64]time.Time
	// reports counts this host's reports of the latest crash of each engine.
	reports   map[core.UpstreamID]*reportCount
	requests  requests
	newcomers core.Newcomers
	// peers are the other entry hosts, replicas the other hosts with a data directory. Replicas keep the quarantines while all
	// entry hosts restart.
	peers     []core.HostID
	replicas  []core.HostID
	isReplica bool
	rand      *rand.Rand
	nextCheck time.Time
	// stored is the list that the data directory held at the start. A replica saves its list at saveAt, zero if nothing has changed.
	stored core.QuarantineList
	saveAt time.Time
	// compareAt is when the suspects are next compared, zero if nothing has changed.
	compareAt time.Time
}

// reportCount counts the reports of one crash.
type reportCount struct {
	since time.Time
	count int
}

func init() { core.Register(Plugin()) }

// Plugin returns the quarantine plug-in.
func Plugin() core.Plugin { return core.Plugin{Name: "quarantine", Rank: rank, New: newComponent} }

func newComponent(env core.Env) core.Component {
	c := &component{
		self: env.Self, isReplica: env.Disk != "", rand: env.Rand, suspects: map[uint64]*suspect{}, sound: map[uint64]time.Time{}, announced: map[uint64]time.Time{},
		reports: map[core.UpstreamID]*reportCount{}, requests: newRequests(), stored: env.StoredState.Notes.Quarantine,
	}
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Gauges: c.gauges}
}

func (c *component) nextDeadline() time.Time {
	return core.Earlier(core.Earlier(c.nextCheck, c.compareAt), c.saveAt)
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.Started:
		c.handleList(t, c.self, c.stored)
		c.stored = core.QuarantineList{}
	case core.StreamCompleted:
		c.streamCompleted(t, e.PromptParts)
	case core.StreamCrashed:
		c.streamCrashed(t, e)
	case core.RequestCompleted:
		c.requestCompleted(t, e.Fingerprint)
	case core.RequestCrashed:
		c.requestCrashed(t, e)
	case core.ObservationReceived:
		c.observationReceived(t, e.Item)
	case core.MembersChanged:
		c.membersChanged(t, e.Members)
	case core.Tick:
		if core.Due(c.compareAt, t.Now) {
			c.compareSuspects(t)
			c.compareRequests(t)
		}
		if core.Due(c.nextCheck, t.Now) {
			c.check(t)
		}
		if core.Due(c.saveAt, t.Now) {
			c.saveAt = time.Time{}
			t.Emit(core.SaveQuarantine{List: c.list(t.Now)})
		}
	case core.MessageReceived:
		switch m := e.Message.(type) {
		case core.QuarantineList:
			c.handleList(t, e.From, m)
		case core.SoundParts:
			for _, p := range m.Parts {
				c.clear(t, p, "a response was complete on "+string(e.From))
			}
			for _, fingerprint := range m.Requests {
				c.clearRequest(t, fingerprint, "a response was complete on "+string(e.From))
			}
		}
	}
}

// streamCompleted records that the parts of a complete response crash no engine.
func (c *component) streamCompleted(t *core.Turn, parts []uint64) {
	if len(c.sound) >= maxSound {
		maps.DeleteFunc(c.sound, func(_ uint64, at time.Time) bool { return t.Now.Sub(at) >= soundTTL/2 })
	}
	for _, p := range parts {
		if _, known := c.sound[p]; known || len(c.sound) < maxSound {
			c.sound[p] = t.Now
		}
		if c.suspects[p] != nil {
			c.clear(t, p, "a response was complete")
			c.announceSound(t, p)
		}
	}
}

func (c *component) isSound(p uint64, now time.Time) bool {
	at, ok := c.sound[p]
	return ok && now.Sub(at) < soundTTL
}

// clear removes a part from the suspects and from the quarantines; the other parts of a quarantine are left as the cause.
func (c *component) clear(t *core.Turn, p uint64, reason string) {
	if c.suspects[p] == nil {
		return
	}
	delete(c.suspects, p)
	c.compareAt = core.Earlier(c.compareAt, t.Now.Add(settleTime))
	changed := false
	for n := range c.quarantines {
		q := &c.quarantines[n]
		if !slices.Contains(q.parts, p) {
			continue
		}
		c.log(t, "release", []uint64{p}, reason)
		q.parts = slices.DeleteFunc(slices.Clone(q.parts), func(part uint64) bool { return part == p })
		changed = true
	}
	if changed {
		c.quarantines = slices.DeleteFunc(c.quarantines, func(q quarantine) bool { return len(q.parts) == 0 })
		c.publish(t)
	}
}

// announceSound tells other hosts that a part is sound, at most once within soundTTL.
func (c *component) announceSound(t *core.Turn, p uint64) {
	if at, ok := c.announced[p]; ok && t.Now.Sub(at) < soundTTL {
		return
	}
	if len(c.announced) >= maxSuspects {
		maps.DeleteFunc(c.announced, func(_ uint64, at time.Time) bool { return t.Now.Sub(at) >= soundTTL })
	}
	if len(c.announced) >= maxSuspects {
		return
	}
	c.announced[p] = t.Now
	t.Post(core.ShareObservation{Observation: core.Observation{PromptSound: &core.PromptSound{Part: p}}})
}

// streamCrashed records the parts of a stream of this host that ended by a crash, and reports those that are not known to be
// sound.
func (c *component) streamCrashed(t *core.Turn, e core.StreamCrashed) {
	if !mayReport(c.reports, e.Upstream, t.Now, maxReportsPerCrash) {
		return
	}
	var parts []uint64
	for _, p := range e.PromptParts {
		if !c.isSound(p, t.Now) {
			parts = append(parts, p)
		}
	}
	if len(parts) == 0 {
		return
	}
	report := core.PromptCrash{Upstream: e.Upstream, Parts: parts, Fingerprint: e.Fingerprint}
	t.Post(core.ShareObservation{Observation: core.Observation{PromptCrash: &report}})
	c.addCrash(t, &report)
}

// mayReport counts a report of an upstream's crash and reports whether it is within the limit.
func mayReport(reports map[core.UpstreamID]*reportCount, upstream core.UpstreamID, now time.Time, limit int) bool {
	r := reports[upstream]
	if r == nil || now.Sub(r.since) >= minRestart {
		r = &reportCount{since: now}
		maps.DeleteFunc(reports, func(_ core.UpstreamID, r *reportCount) bool { return now.Sub(r.since) >= minRestart })
		reports[upstream] = r
	}
	r.count++
	return r.count <= limit
}

// addCrash records a crash against parts and reports whether it changed what this host knows of a part.
func (c *component) addCrash(t *core.Turn, report *core.PromptCrash) (changed bool) {
	for _, p := range report.Parts {
		if c.isSound(p, t.Now) {
			c.announceSound(t, p)
			continue
		}
		s := c.suspects[p]
		if s == nil {
			if len(c.suspects) >= maxSuspects {
				continue
			}
			s = &suspect{}
			c.suspects[p] = s
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(x crash) bool { return t.Now.Sub(x.at) >= crashTTL })
		x := crash{engine: report.Upstream, at: t.Now, request: report.Fingerprint}
		if i := s.indexOf(x); i >= 0 {
			if y := &s.crashes[i]; y.request != 0 && y.request != x.request {
				y.request, changed = 0, true
				c.compareAt = core.Earlier(c.compareAt, t.Now.Add(settleTime))
			}
			continue
		}
		if len(s.crashes) >= maxCrashes {
			continue
		}
		s.crashes = append(s.crashes, x)
		changed = true
		c.compareAt = core.Earlier(c.compareAt, t.Now.Add(settleTime))
	}
	c.schedule(t.Now)
	return changed
}

// saw reports whether a crash is one that the part is suspected by already.
func (s *suspect) saw(x crash) bool { return s.indexOf(x) >= 0 }

// indexOf returns the index of a crash that the part is suspected by already, or -1.
func (s *suspect) indexOf(x crash) int {
	return slices.IndexFunc(s.crashes, func(y crash) bool { return x.engine == y.engine && x.at.Sub(y.at).Abs() < minRestart })
}

// isOneDeadlyRequest reports whether all crashes that a part is suspected by were seen by one request alone, and are put down to that.
func (c *component) isOneDeadlyRequest(s *suspect) bool {
	fingerprint := s.crashes[0].request
	if fingerprint == 0 || slices.ContainsFunc(s.crashes, func(x crash) bool { return x.request != fingerprint }) {
		return false
	}
	r := c.requests.suspects[fingerprint]
	return r != nil && (r.isQuarantined || r.isDeadly())
}

// compareSuspects quarantines the parts that crashes are put down to.
func (c *component) compareSuspects(t *core.Turn) {
	c.compareAt = time.Time{}
	for _, p := range slices.Sorted(maps.Keys(c.suspects)) {
		if !c.isGuilty(p) {
			continue
		}
		q := quarantine{parts: c.inseparable(p), until: t.Now.Add(quarantineTime)}
		if c.begin(t, q, fmt.Sprintf("%d engines crashed at the start of responses", len(c.suspects[p].crashes))) {
			c.shareQuarantine(t, q)
		}
	}
}

// isGuilty reports whether enough crashes are put down to a part.
func (c *component) isGuilty(p uint64) bool {
	s := c.suspects[p]
	if len(s.crashes) < crashThreshold || c.isOneDeadlyRequest(s) {
		return false
	}
	engines := map[core.UpstreamID]bool{}
	unexplained := 0
	for _, x := range s.crashes {
		if !c.isExplained(p, x) {
			engines[x.engine] = true
			unexplained++
		}
	}
	return unexplained >= crashThreshold && len(engines) >= minEngines
}

// isExplained reports whether another part is the more likely cause of a crash: one that has seen more crashes.
func (c *component) isExplained(p uint64, x crash) bool {
	for q, other := range c.suspects {
		if q != p && len(other.crashes) > len(c.suspects[p].crashes) && other.saw(x) {
			return true
		}
	}
	return false
}

// inseparable returns the parts that have seen the same crashes as p, p included, in ascending order.
func (c *component) inseparable(p uint64) []uint64 {
	s := c.suspects[p]
	var parts []uint64
	for q, other := range c.suspects {
		if len(other.crashes) == len(s.crashes) && !slices.ContainsFunc(s.crashes, func(x crash) bool { return !other.saw(x) }) {
			parts = append(parts, q)
		}
	}
	slices.Sort(parts)
	return parts
}

// begin begins a quarantine and reports whether requests are kept away that were not before.
func (c *component) begin(t *core.Turn, q quarantine, reason string) bool {
	if slices.ContainsFunc(c.quarantines, func(old quarantine) bool { return isSubset(old.parts, q.parts) }) {
		return false
	}
	if len(c.quarantines) >= maxQuarantines {
		return false
	}
	c.quarantines = slices.DeleteFunc(c.quarantines, func(old quarantine) bool { return isSubset(q.parts, old.parts) })
	c.quarantines = append(c.quarantines, q)
	for _, p := range q.parts {
		if c.suspects[p] == nil && len(c.suspects) < maxSuspects {
			c.suspects[p] = &suspect{}
		}
	}
	c.log(t, "quarantine", q.parts, reason)
	c.publish(t)
	c.schedule(t.Now)
	c.tellReplicas(t)
	return true
}

// tellReplicas sends the list to a few replicas, which keep it while all entry hosts restart.
func (c *component) tellReplicas(t *core.Turn) {
	first := c.rand.IntN(len(c.replicas) + 1)
	for n := range min(toldReplicas, len(c.replicas)) {
		c.sendQuarantine(t, c.replicas[(first+n)%len(c.replicas)])
	}
}

// isSubset reports whether all parts of a are in b.
func isSubset(a, b []uint64) bool {
	return !slices.ContainsFunc(a, func(p uint64) bool { return !slices.Contains(b, p) })
}

func (c *component) shareQuarantine(t *core.Turn, q quarantine) {
	t.Post(core.ShareObservation{Observation: core.Observation{
		PromptQuarantine: &core.PromptQuarantine{Parts: q.parts, Remaining: q.until.Sub(t.Now)},
	}})
}

// observationReceived records what another host has observed, and has it passed on if it is news here.
func (c *component) observationReceived(t *core.Turn, item core.GossipItem) {
	news := false
	switch o := item.Observation; {
	case o.PromptCrash != nil:
		news = c.addCrash(t, o.PromptCrash)
	case o.PromptSound != nil:
		// Only this host's own responses make a part sound here; what hosts hear of each other would never be forgotten.
		news = c.suspects[o.PromptSound.Part] != nil
		c.clear(t, o.PromptSound.Part, "a response was complete on "+string(item.ID.Host))
	case o.PromptQuarantine != nil:
		news = c.adopt(t, *o.PromptQuarantine, item.ID.Host)
	case o.RequestCrash != nil:
		news = c.addRequestCrash(t, o.RequestCrash)
	case o.RequestSound != nil:
		news = c.soundRequestHeard(t, o.RequestSound.Fingerprint, item.ID.Host)
	case o.RequestQuarantine != nil:
		news = c.adoptRequest(t, *o.RequestQuarantine, item.ID.Host)
	}
	if news {
		t.Post(core.PassOn{Item: item})
	}
}

// adopt quarantines parts as another host does, unless one of them is known here to be sound or the crashes that this host
// knows of say otherwise. The other host may have missed reports. It never extends a quarantine, and it leaves one that ends
// before the next check, since the time on the way is not counted: hosts that told each other would go on for ever.
func (c *component) adopt(t *core.Turn, q core.PromptQuarantine, from core.HostID) bool {
	if q.Remaining <= checkInterval {
		return false
	}
	for _, p := range q.Parts {
		if c.isSound(p, t.Now) {
			c.announceSound(t, p)
			return false
		}
		if c.contradicts(p, q.Parts) {
			return false
		}
	}
	until := t.Now.Add(min(q.Remaining, quarantineTime))
	return c.begin(t, quarantine{parts: slices.Clone(q.Parts), until: until}, "told by "+string(from))
}

// contradicts reports whether this host knows of enough crashes to put those of a part down to others than the given ones.
func (c *component) contradicts(p uint64, parts []uint64) bool {
	s := c.suspects[p]
	if s == nil {
		return false
	}
	for other, o := range c.suspects {
		if len(o.crashes) >= crashThreshold && len(o.crashes) >= len(s.crashes) && !slices.Contains(parts, other) &&
			slices.ContainsFunc(s.crashes, o.saw) {
			return true
		}
	}
	return false
}

// handleList adopts another host's quarantines and tells it which of their parts are sound.
func (c *component) handleList(t *core.Turn, from core.HostID, m core.QuarantineList) {
	var sound core.SoundParts
	for _, q := range m.Quarantines {
		c.adopt(t, q, from)
		for _, p := range q.Parts {
			if c.isSound(p, t.Now) {
				sound.Parts = append(sound.Parts, p)
			}
		}
	}
	for _, q := range m.Requests {
		c.adoptRequest(t, q, from)
		if c.requests.completed.has(q.Fingerprint, t.Now) || c.requests.heardSound.isWithin(q.Fingerprint, soundTTL, t.Now) {
			sound.Requests = append(sound.Requests, q.Fingerprint)
		}
	}
	for i := range m.Crashes {
		c.addRequestCrash(t, &m.Crashes[i])
	}
	if len(sound.Parts)+len(sound.Requests) > 0 {
		t.Send(from, sound)
	}
}

// membersChanged tells hosts that have started, or were away, what is quarantined.
func (c *component) membersChanged(t *core.Turn, members []core.Member) {
	c.replicas, c.peers = nil, nil
	for i := range members {
		if members[i].Disk != "" && members[i].Host != c.self {
			c.replicas = append(c.replicas, members[i].Host)
		}
		if members[i].Entry && members[i].Host != c.self {
			c.peers = append(c.peers, members[i].Host)
		}
	}
	slices.Sort(c.peers)
	for _, h := range c.newcomers.Update(members, c.self, c.isReplica) {
		c.sendQuarantine(t, h)
	}
}

// list returns the quarantines and the crashes that may lead to others.
func (c *component) list(now time.Time) core.QuarantineList {
	var m core.QuarantineList
	for _, q := range c.quarantines {
		if now.Before(q.until) {
			m.Quarantines = append(m.Quarantines, core.PromptQuarantine{Parts: q.parts, Remaining: q.until.Sub(now)})
		}
	}
	c.listRequests(now, &m)
	return m
}

// saveInterval is how long a replica collects changes of its list before it saves that.
const saveInterval = 100 * time.Millisecond

// saveLater has a replica save its list, which has changed.
func (c *component) saveLater(now time.Time) {
	if c.isReplica {
		c.saveAt = core.Earlier(c.saveAt, now.Add(saveInterval))
	}
}

func (c *component) sendQuarantine(t *core.Turn, to core.HostID) {
	m := c.list(t.Now)
	if len(m.Quarantines)+len(m.Requests)+len(m.Crashes) > 0 {
		t.Send(to, m)
	}
}

// check ends the quarantines whose time is over, forgets old crashes and compares the quarantines with another host, since
// either may have missed what was shared.
func (c *component) check(t *core.Turn) {
	before := len(c.quarantines)
	c.quarantines = slices.DeleteFunc(c.quarantines, func(q quarantine) bool {
		ended := core.Due(q.until, t.Now)
		if ended {
			c.log(t, "release", q.parts, "the time is over")
		}
		return ended
	})
	maps.DeleteFunc(c.suspects, func(p uint64, s *suspect) bool {
		s.crashes = slices.DeleteFunc(s.crashes, func(x crash) bool { return t.Now.Sub(x.at) >= crashTTL })
		return len(s.crashes) == 0 && !c.isQuarantined(p)
	})
	if len(c.quarantines) < before {
		c.publish(t)
	}
	c.checkRequests(t)
	if len(c.peers) > 0 {
		c.sendQuarantine(t, c.peers[c.rand.IntN(len(c.peers))])
	}
	c.schedule(t.Now)
}

// isQuarantined reports whether a part is in a quarantine.
func (c *component) isQuarantined(p uint64) bool {
	return slices.ContainsFunc(c.quarantines, func(q quarantine) bool { return slices.Contains(q.parts, p) })
}

// checkInterval is the time between two checks while there are suspects.
const checkInterval = 2 * time.Second

// schedule sets the time of the next check, if there are suspects and none is set.
func (c *component) schedule(now time.Time) {
	if len(c.suspects)+len(c.requests.suspects) == 0 {
		c.nextCheck = time.Time{}
	} else if !now.Before(c.nextCheck) {
		c.nextCheck = now.Add(checkInterval)
	}
}

// publish posts the quarantines.
func (c *component) publish(t *core.Turn) {
	c.saveLater(t.Now)
	var sets [][]uint64
	for _, q := range c.quarantines {
		sets = append(sets, q.parts)
	}
	t.Post(core.QuarantineChanged{PromptParts: sets})
}

func (c *component) log(t *core.Turn, choice string, parts []uint64, reason string) {
	t.LogDecision(core.Decision{Component: "quarantine", Choice: choice, Reason: reason, Target: fmt.Sprintf("%x", parts)})
}

func (c *component) gauges(set func(string, int64)) {
	set("quarantines", int64(len(c.quarantines)))
	set("suspects", int64(len(c.suspects)))
	set("suspectRequests", int64(len(c.requests.suspects)))
}
