package upstream

import (
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"oleanderlever/core"
)

const (
	// AnnounceInterval is the interval at which an upstream repeats its announcement as a heartbeat.
	AnnounceInterval = 500 * time.Millisecond
	// messageTimeout limits the time to send one announcement or report to a host.
	messageTimeout = time.Second
)

// Announcer is the upstream's side of the protocol: it sends announcements and load reports to one of several hosts.
type Announcer struct {
	Announcement core.Announcement
	Hosts        []netip.AddrPort
	Secret       string
	// Report returns the load and the cache events since the last report, or false if there is none to send. It may be
	// nil.
	Report func() (ReportBody, bool)

	mu        sync.Mutex
	client    *Client
	hostIndex int
	seq       uint64
	stop      chan struct{}
	done      chan struct{}
}

// Start sends announcements and reports in a new goroutine until Stop.
func (a *Announcer) Start() {
	a.client = NewClient(a.Secret, nil)
	a.stop, a.done = make(chan struct{}), make(chan struct{})
	go a.run()
}

// Stop ends the announcements; the last one says that the upstream is leaving.
func (a *Announcer) Stop() {
	close(a.stop)
	<-a.done
	a.Update(func(a *core.Announcement) { a.Leaving = true })
	a.send(PathAnnounce, a.Current())
}

func (a *Announcer) run() {
	defer close(a.done)
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for {
		a.announce()
		select {
		case <-ticker.C:
		case <-a.stop:
			return
		}
	}
}

// Update changes the announcement that is sent from now on.
func (a *Announcer) Update(change func(a *core.Announcement)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.Announcement)
}

// Current returns the announcement that is sent now.
func (a *Announcer) Current() core.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Announcement
}

func (a *Announcer) announce() {
	current := a.Current()
	a.send(PathAnnounce, current)
	if a.Report == nil {
		return
	}
	if r, ok := a.Report(); ok {
		a.seq++
		r.ID, r.Pool, r.Incarnation, r.Seq = current.ID, current.Pool, current.Incarnation, a.seq
		a.send(PathReport, &r)
	}
}

// send tries each host at most once, starting with the one that accepted the last message.
func (a *Announcer) send(path string, body any) {
	for range a.Hosts {
		resp, f := a.client.send(a.Hosts[a.hostIndex%len(a.Hosts)], "", path, body, messageTimeout)
		if f == nil && resp.status == fasthttp.StatusNoContent {
			return
		}
		a.hostIndex++
	}
}
