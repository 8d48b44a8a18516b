package lease

import (
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// maxChanges is how many recent changes a host keeps, so that it can update another one without sending the full
	// configuration.
	maxChanges = 512
	// spreadFanout is the number of hosts that a host tells of a configuration or a leader that is new to it, and
	// leaderFanout the number that the leader tells of a change. Hosts that no message reaches hear of a change by pings.
	spreadFanout = 4
	leaderFanout = 8
	// fetchTimeout is how long a host waits for a configuration from another one before it asks the leader.
	fetchTimeout = 300 * time.Millisecond
)

// changeLog is a configuration with the latest changes that led to it.
type changeLog struct {
	config  *core.Config
	changes []core.Change
}

// replace sets the configuration without the changes that led to it.
func (l *changeLog) replace(config *core.Config) { l.config, l.changes = config, nil }

// add appends a change that led to the configuration.
func (l *changeLog) add(config *core.Config, change core.Change) {
	l.config = config
	l.changes = append(l.changes, change)
	if len(l.changes) > maxChanges {
		l.changes = slices.Delete(l.changes, 0, len(l.changes)-maxChanges)
	}
}

// since returns the changes since a version, or the full configuration if they are not kept. It returns false if the
// version is newer than the configuration.
func (l *changeLog) since(have core.ConfigVersion) (changes []core.Change, config *core.Config, ok bool) {
	if have > l.config.Version {
		return nil, nil, false
	}
	if behind := l.config.Version - have; behind <= core.ConfigVersion(len(l.changes)) {
		return l.changes[len(l.changes)-int(behind):], nil, true
	}
	return nil, l.config, true
}

// update responds to a ConfigRequest unless it has nothing new for the host.
func (l *changeLog) update(t *core.Turn, to core.HostID, have core.ConfigVersion) {
	if changes, config, ok := l.since(have); ok && l.config.Version > have {
		t.Send(to, core.ConfigUpdate{Version: l.config.Version, Changes: changes, Config: config})
	}
}

// source is a host that has a configuration version.
type source struct {
	host    core.HostID
	version core.ConfigVersion
}

// fetch is the request for a newer configuration that this host has sent to another one.
//
// Configurations spread from host to host: each tells a few others as soon as it has a new version, and those ask it for the
// changes. So no host sends a configuration to more than a few others, and the number of steps grows with the logarithm
// of the number of hosts. Any host may answer, because only committed versions become active.
type fetch struct {
	source
	// deadline is zero if no request is unanswered.
	deadline time.Time
	// next is the newest version that was heard of while the request was unanswered.
	next source
}

// fetchFrom requests a newer configuration from a host that has it, unless a request is unanswered.
func (h *holder) fetchFrom(t *core.Turn, s source) {
	switch {
	case s.version <= h.log.config.Version || s.host == "":
	case h.fetch.deadline.IsZero():
		h.fetch.source, h.fetch.deadline = s, t.Now.Add(fetchTimeout)
		t.Send(s.host, core.ConfigRequest{HaveVersion: h.log.config.Version})
	case s.version > h.fetch.version && s.version >= h.fetch.next.version:
		h.fetch.next = s
	}
}

// endFetch ends the unanswered request and starts the next one if a newer version was heard of. It reports false if there
// is none.
func (h *holder) endFetch(t *core.Turn) bool {
	next := h.fetch.next
	h.fetch = fetch{}
	h.fetchFrom(t, next)
	return !h.fetch.deadline.IsZero()
}

func (h *holder) handleUpdate(t *core.Turn, m core.ConfigUpdate) {
	if m.Version > h.log.config.Version && h.updateConfig(t, m.Version, m.Changes, m.Config) {
		h.endFetch(t)
	}
}

// expireFetch asks another host that has a newer version, or the leader, if the request was not answered in time.
func (h *holder) expireFetch(t *core.Turn) {
	if core.Due(h.fetch.deadline, t.Now) && !h.endFetch(t) {
		h.sendRequest(t)
	}
}

// spread tells a few random hosts which version and which leader this host knows.
func (h *holder) spread(t *core.Turn) {
	m := core.LeaseHint{Version: h.log.config.Version, Epoch: h.heardEpoch, Leader: h.heardLeader}
	for _, to := range pick(h.peers, spreadFanout, h.intN) {
		t.Send(to, m)
	}
}

// pick returns n random hosts, or all if there are fewer.
func pick(hosts []core.HostID, n int, intN func(int) int) []core.HostID {
	if len(hosts) <= n {
		return hosts
	}
	picked := make([]core.HostID, 0, n)
	for len(picked) < n {
		if h := hosts[intN(len(hosts))]; !slices.Contains(picked, h) {
			picked = append(picked, h)
		}
	}
	return picked
}
