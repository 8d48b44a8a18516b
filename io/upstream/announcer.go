package upstream

import (
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"oleanderlever/core"
)

const (
	// AnnounceEvery is how often an upstream repeats its announcement.
	AnnounceEvery = 500 * time.Millisecond
	// reportTimeout bounds one announcement or report.
	reportTimeout = time.Second
)

// Announcer is the upstream's side of the protocol: it announces and reports to one of several hosts until stopped.
type Announcer struct {
	Announcement core.Announcement
	Hosts        []netip.AddrPort
	Secret       string
	// Report returns the load and the cache events since the last report, or false where there is none to send.
	Report func() (ReportBody, bool)

	mu     sync.Mutex
	client *Client
	turn   int
	seq    uint64
	stop   chan struct{}
	done   chan struct{}
}

// Start announces until Stop.
func (a *Announcer) Start() {
	a.client = NewClient(a.Secret)
	a.stop, a.done = make(chan struct{}), make(chan struct{})
	go a.run()
}

// Stop says goodbye and ends the announcements.
func (a *Announcer) Stop() {
	close(a.stop)
	<-a.done
	a.Change(func(a *core.Announcement) { a.Leaving = true })
	a.tell(PathAnnounce, a.Current())
}

func (a *Announcer) run() {
	defer close(a.done)
	every := time.NewTicker(AnnounceEvery)
	defer every.Stop()
	for {
		a.speak()
		select {
		case <-every.C:
		case <-a.stop:
			return
		}
	}
}

// Change changes what is announced from now on.
func (a *Announcer) Change(change func(a *core.Announcement)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.Announcement)
}

// Current returns what is announced now.
func (a *Announcer) Current() core.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Announcement
}

func (a *Announcer) speak() {
	now := a.Current()
	a.tell(PathAnnounce, now)
	if a.Report == nil {
		return
	}
	if r, ok := a.Report(); ok {
		a.seq++
		r.ID, r.Pool, r.Incarnation, r.Seq = now.ID, now.Pool, now.Incarnation, a.seq
		a.tell(PathReport, &r)
	}
}

// tell tries each host once, the one that answered last first.
func (a *Announcer) tell(path string, body any) {
	for range a.Hosts {
		answer, f := a.client.send(a.Hosts[a.turn%len(a.Hosts)], path, body, reportTimeout)
		if f == nil && answer.status == fasthttp.StatusNoContent {
			return
		}
		a.turn++
	}
}
