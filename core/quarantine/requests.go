package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// maxQuarantineTime limits the quarantine of a request. Each crash after the end of one doubles the next, maxDoublings times at
	// most.
	maxQuarantineTime = time.Hour
	maxDoublings      = 4
	// maxCompleted limits each generation of the complete requests that are remembered.
	maxCompleted = 8192
	// maxRequestReports limits the requests that a host reports for the crash of one upstream.
	maxRequestReports = 32
	// soundInterval is the shortest time between two announcements that a request is sound.
	soundInterval = time.Second
	// minListedCrashes is the number of crashes from which other hosts are told of a request, maxListedRequests limits the list.
	minListedCrashes  = 2
	maxListedRequests = 64
)

// requestCrash is the end of an upstream while it began to execute a request.
type requestCrash struct {
	crash
	incarnation uint64
}

// isSame reports whether two reports are of one crash. No incarnation ends twice.
func (x *requestCrash) isSame(y *requestCrash) bool {
	if x.engine != y.engine {
		return false
	}
	if x.incarnation > 0 && y.incarnation > 0 {
		return x.incarnation == y.incarnation
	}
	return x.at.Sub(y.at).Abs() < minRestart
}

// requestSuspect is a request that upstreams have ended with since it was last complete.
type requestSuspect struct {
	crashes []requestCrash
	// until is the end of its last quarantine, quarantines their number. isQuarantined is true while one is in force.
	until         time.Time
	quarantines   int
	isQuarantined bool
}

// isDeadly reports whether the crashes are put down to the request. After a quarantine one more crash is enough.
func (s *requestSuspect) isDeadly() bool {
	if s.quarantines > 0 {
		return len(s.crashes) > 0 && s.crashes[len(s.crashes)-1].at.After(s.until)
	}
	return len(s.crashes) >= crashThreshold
}

// requests finds the requests that crash each upstream which executes them, by their fingerprints.
//
// The other requests of an upstream that ends are lost with it, and may be lost again where their callers repeat them. A request
// is put in quarantine only after several upstreams have ended with it and none has executed it to its end in between, on any
// host. That holds too for equal requests of many callers, of which some are complete while upstreams end for other reasons.
type requests struct {
	suspects map[uint64]*requestSuspect
	// completed are the requests with a complete response on this host.
	completed recentSet[uint64]
	// announced has the time at which this host last told others that a request is sound, heardSound that at which it last heard
	// so from a host with a complete response. What is only heard is not announced: it would never be forgotten.
	announced  timesByRequest
	heardSound timesByRequest
	reports    map[core.UpstreamID]*reportCount
}

func newRequests() requests {
	return requests{
		suspects: map[uint64]*requestSuspect{}, completed: newRecentSet[uint64](soundTTL, maxCompleted),
		announced: timesByRequest{}, heardSound: timesByRequest{},
		reports: map[core.UpstreamID]*reportCount{},
	}
}

// timesByRequest has the time of something that concerns a request, by its fingerprint.
type timesByRequest map[uint64]time.Time

// set sets the time of a request, unless there are too many that are not older than soundTTL.
func (m timesByRequest) set(fingerprint uint64, now time.Time) {
	if len(m) >= maxSuspects {
		maps.DeleteFunc(m, func(_ uint64, at time.Time) bool { return now.Sub(at) >= soundTTL })
	}
	if _, known := m[fingerprint]; known || len(m) < maxSuspects {
		m[fingerprint] = now
	}
}

// isWithin reports whether the time of a request is at most the given time before t.
func (m timesByRequest) isWithin(fingerprint uint64, d time.Duration, t time.Time) bool {
	at, ok := m[fingerprint]
	return ok && t.Sub(at) <= d
}

func (c *component) requestCompleted(t *core.Turn, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	c.requests.completed.add(fingerprint, t.Now)
	if c.clearRequest(t, fingerprint, "a response was complete") {
		c.announceSoundRequest(t, fingerprint)
	}
}

// requestCrashed records a crash that a request of this host saw, and reports it.
func (c *component) requestCrashed(t *core.Turn, e core.RequestCrashed) {
	if e.Fingerprint == 0 || c.requests.completed.has(e.Fingerprint, t.Now) || !mayReport(c.requests.reports, e.Upstream, t.Now, maxRequestReports) {
		return
	}
	report := core.RequestCrash{Fingerprint: e.Fingerprint, Upstream: e.Upstream, Incarnation: e.Incarnation}
	t.Post(core.ShareObservation{Observation: core.Observation{RequestCrash: &report}})
	c.addRequestCrash(t, &report)
	if s := c.requests.suspects[e.Fingerprint]; s != nil && len(s.crashes) >= minListedCrashes {
		c.tellReplicas(t)
	}
}

// addRequestCrash records a crash and reports whether it is news.
func (c *component) addRequestCrash(t *core.Turn, report *core.RequestCrash) bool {
	if c.requests.completed.has(report.Fingerprint, t.Now) {
		c.announceSoundRequest(t, report.Fingerprint)
		return false
	}
	x := requestCrash{crash: crash{engine: report.Upstream, at: t.Now.Add(-report.Age)}, incarnation: report.Incarnation}
	// Gossip may bring the answer to a report before the report.
	if c.requests.heardSound.isWithin(report.Fingerprint, soundInterval, x.at) {
		return false
	}
	s := c.suspectRequest(report.Fingerprint)
	if s == nil || slices.ContainsFunc(s.crashes, func(y requestCrash) bool { return x.isSame(&y) }) {
		return false
	}
	if s.crashes = append(s.crashes, x); len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	if len(s.crashes) >= minListedCrashes {
		c.saveLater(t.Now)
	}
	c.compareAt = core.Earlier(c.compareAt, t.Now.Add(settleTime))
	c.schedule(t.Now)
	return true
}

// suspectRequest returns the entry of a suspect and creates it if there is none, or nil if there is no room.
func (c *component) suspectRequest(fingerprint uint64) *requestSuspect {
	s := c.requests.suspects[fingerprint]
	if s == nil && len(c.requests.suspects) < maxSuspects {
		s = &requestSuspect{}
		c.requests.suspects[fingerprint] = s
	}
	return s
}

// compareRequests quarantines the requests that crashes are put down to.
func (c *component) compareRequests(t *core.Turn) {
	for _, fingerprint := range slices.Sorted(maps.Keys(c.requests.suspects)) {
		s := c.requests.suspects[fingerprint]
		if s.isQuarantined || !s.isDeadly() {
			continue
		}
		remaining := min(maxQuarantineTime, quarantineTime<<min(s.quarantines, maxDoublings))
		reason := fmt.Sprintf("%d upstreams ended with it and none has completed it", len(s.crashes))
		if c.quarantineRequest(t, fingerprint, remaining, reason) {
			q := core.RequestQuarantine{Fingerprint: fingerprint, Remaining: remaining}
			t.Post(core.ShareObservation{Observation: core.Observation{RequestQuarantine: &q}})
		}
	}
}

// quarantineRequest begins a quarantine and reports whether there was none.
func (c *component) quarantineRequest(t *core.Turn, fingerprint uint64, remaining time.Duration, reason string) bool {
	s := c.suspectRequest(fingerprint)
	if s == nil || s.isQuarantined {
		return false
	}
	s.isQuarantined, s.until = true, t.Now.Add(remaining)
	s.quarantines++
	c.log(t, "quarantineRequest", []uint64{fingerprint}, reason)
	c.publishRequests(t)
	c.schedule(t.Now)
	c.tellReplicas(t)
	return true
}

// soundRequestHeard clears a request that was complete on another host, and reports whether that is news.
func (c *component) soundRequestHeard(t *core.Turn, fingerprint uint64, from core.HostID) bool {
	news := !c.requests.heardSound.isWithin(fingerprint, soundInterval, t.Now)
	c.requests.heardSound.set(fingerprint, t.Now)
	return c.clearRequest(t, fingerprint, "a response was complete on "+string(from)) || news
}

// clearRequest forgets the crashes of a request, ends its quarantine and reports whether it was a suspect.
func (c *component) clearRequest(t *core.Turn, fingerprint uint64, reason string) bool {
	s := c.requests.suspects[fingerprint]
	if s == nil {
		return false
	}
	delete(c.requests.suspects, fingerprint)
	if s.isQuarantined {
		c.log(t, "releaseRequest", []uint64{fingerprint}, reason)
		c.publishRequests(t)
	}
	return true
}

// announceSoundRequest tells other hosts that a request is sound, at most once within soundInterval.
func (c *component) announceSoundRequest(t *core.Turn, fingerprint uint64) {
	if c.requests.announced.isWithin(fingerprint, soundInterval, t.Now) {
		return
	}
	c.requests.announced.set(fingerprint, t.Now)
	t.Post(core.ShareObservation{Observation: core.Observation{RequestSound: &core.RequestSound{Fingerprint: fingerprint}}})
}

// adoptRequest quarantines a request as another host does, unless it is known here to be sound. Like adopt, it never extends a
// quarantine, and leaves one that is about to end.
func (c *component) adoptRequest(t *core.Turn, q core.RequestQuarantine, from core.HostID) bool {
	if q.Remaining <= checkInterval {
		return false
	}
	if c.requests.completed.has(q.Fingerprint, t.Now) {
		delete(c.requests.announced, q.Fingerprint)
		c.announceSoundRequest(t, q.Fingerprint)
		return false
	}
	if c.requests.heardSound.isWithin(q.Fingerprint, soundTTL, t.Now) {
		return false
	}
	return c.quarantineRequest(t, q.Fingerprint, min(q.Remaining, maxQuarantineTime), "told by "+string(from))
}

// listRequests adds the quarantined requests, and the crashes of those that may be, to a list for another host.
func (c *component) listRequests(now time.Time, m *core.QuarantineList) {
	for _, fingerprint := range slices.Sorted(maps.Keys(c.requests.suspects)) {
		s := c.requests.suspects[fingerprint]
		switch {
		case len(m.Requests) >= maxListedRequests:
			return
		case s.isQuarantined && now.Before(s.until):
			m.Requests = append(m.Requests, core.RequestQuarantine{Fingerprint: fingerprint, Remaining: s.until.Sub(now)})
		case s.quarantines == 0 && len(s.crashes) >= minListedCrashes && len(m.Crashes) < maxListedRequests:
			for _, x := range s.crashes {
				m.Crashes = append(m.Crashes, core.RequestCrash{Fingerprint: fingerprint, Upstream: x.engine, Incarnation: x.incarnation, Age: now.Sub(x.at)})
			}
		}
	}
}

// checkRequests ends the quarantines whose time is over and forgets old crashes.
func (c *component) checkRequests(t *core.Turn) {
	ended := false
	for _, fingerprint := range slices.Sorted(maps.Keys(c.requests.suspects)) {
		s := c.requests.suspects[fingerprint]
		if s.isQuarantined && core.Due(s.until, t.Now) {
			s.isQuarantined, ended = false, true
			c.log(t, "releaseRequest", []uint64{fingerprint}, "the time is over")
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(x requestCrash) bool { return t.Now.Sub(x.at) >= crashTTL })
		if len(s.crashes) == 0 && t.Now.Sub(s.until) >= maxQuarantineTime {
			delete(c.requests.suspects, fingerprint)
		}
	}
	if ended {
		c.publishRequests(t)
	}
}

// publishRequests posts the quarantined requests.
func (c *component) publishRequests(t *core.Turn) {
	c.saveLater(t.Now)
	var fingerprints []uint64
	for _, fingerprint := range slices.Sorted(maps.Keys(c.requests.suspects)) {
		if c.requests.suspects[fingerprint].isQuarantined {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	t.Post(core.RequestQuarantineChanged{Fingerprints: fingerprints})
}
