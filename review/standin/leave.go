package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainTimeout = 2 * time.Second
	orderBudget  = 2500 * time.Millisecond
	orderWork    = 300 * time.Millisecond
	// orderGap is the mean time between two orders of all clients.
	orderGap = 12 * time.Millisecond
	// serverCount is the number of servers; one of them is less than the share that the site lets crash, and that it lets leave.
	serverCount = 8
	// lingerTime is how much longer than drainTimeout a leaving server goes on serving.
	lingerTime = 2 * time.Second
	// settleTime passes before the crash and before the server leaves; it is longer than ContactMs.
	settleTime = 4 * time.Second
	// downTime is how long the server that crashes is down.
	downTime = time.Second
)

// leaveAfterRestart lets a server crash, start again under its Id and, some seconds later, leave with a deregistration first, as
// some servers do. A server holds to the control address that it picked until it starts or leaves.
func leaveAfterRestart(rec *record, trouble bool) (bool, error) {
	c, err := startCluster(rec, frontCount, coreCount)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	controls := c.controls()
	if err := putConfig(rec, controls, desiredState(1, "unsafe", orderBudget)); err != nil {
		return false, err
	}
	leaving := &leavingServer{rec: rec, controls: controls, addr: fmt.Sprintf("%s.80:%d", c.prefix, portServer)}
	if err := leaving.start(); err != nil {
		return false, err
	}
	defer leaving.close()
	for i := range serverCount - 1 {
		to := controls[i%len(controls)]
		other, err := startServer(&server{
			rec: rec, id: fmt.Sprintf("i-02d9e6b%d", i), service: service, addr: fmt.Sprintf("%s.%d:%d", c.prefix, 81+i, portServer),
			pick: func() string { return to }, respond: serveOrder,
		})
		if err != nil {
			return false, err
		}
		defer other.close()
	}
	if err := awaitReady(c.fronts[0], 20*time.Second); err != nil {
		return false, err
	}
	orders := startOrders(rec, c.fronts[0])
	time.Sleep(settleTime)
	if trouble {
		rec.add("server %s crashes", leaving.current.id)
		leaving.close()
		time.Sleep(downTime)
		if err := leaving.start(); err != nil {
			return false, err
		}
		rec.add("server %s starts again under the same Id, born %d", leaving.current.id, leaving.current.born)
	}
	time.Sleep(settleTime)
	acked, ok := leaving.leave()
	if !ok {
		return false, fmt.Errorf("the deregistration was not acknowledged")
	}
	time.Sleep(drainTimeout + lingerTime)
	boot := leaving.current
	leaving.close()
	rec.add("server %s ends", boot.id)
	time.Sleep(time.Second)
	orders.stop()
	late, lost := 0, 0
	for _, a := range boot.since(acked.Add(drainTimeout)) {
		if sent, ok := orders.sentAt(a.id); ok && sent.After(acked.Add(drainTimeout)) {
			late++
			result := orders.result(a.id)
			if result.err != nil || result.status != http.StatusOK {
				lost++
			}
			rec.add("order %s, sent %.3f s after the acknowledgement, reached the server that left; its client: %v", a.id, sent.Sub(acked).Seconds(), result)
		}
	}
	rec.add("%d orders, sent later than %v after the acknowledgement, reached the server that left, %d of them without a success; %d orders in all",
		late, drainTimeout, lost, orders.count())
	return late > 0, nil
}

// leavingServer is the server that crashes and leaves; each start picks the next control address.
type leavingServer struct {
	rec      *record
	controls []string
	addr     string
	starts   int
	current  *server
}

func (l *leavingServer) start() error {
	to := l.controls[l.starts%len(l.controls)]
	l.starts++
	s, err := startServer(&server{
		rec: l.rec, id: "i-7f3a91c2", service: service, addr: l.addr, pick: func() string { return to }, respond: serveOrder,
	})
	l.current = s
	return err
}

// leave deregisters the server at the first control address and ends its heartbeats.
func (l *leavingServer) leave() (acked time.Time, ok bool) {
	l.current.stopOnce.Do(func() { close(l.current.stop) })
	l.current.pick = func() string { return l.controls[0] }
	ok = l.current.deregister()
	return time.Now(), ok
}

func (l *leavingServer) close() {
	if l.current != nil {
		l.current.close()
	}
}

func serveOrder(w http.ResponseWriter, r *http.Request) {
	time.Sleep(orderWork)
	w.Header().Set("X-Response-Seal", "s."+r.Header.Get("X-Request-Id"))
	_, _ = w.Write([]byte("printed"))
}

// orders is a stream of orders from several clients with kept channels.
type orders struct {
	rec  *record
	end  chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	sent    map[string]time.Time
	answers map[string]answer
}

const orderClients = 24

func startOrders(rec *record, m *machine) *orders {
	o := &orders{rec: rec, end: make(chan struct{}), sent: map[string]time.Time{}, answers: map[string]answer{}}
	for i := range orderClients {
		o.done.Go(func() {
			time.Sleep(time.Duration(i) * (orderGap + orderWork/orderClients))
			o.run(m)
		})
	}
	return o
}

func (o *orders) run(m *machine) {
	var ch *channel
	for {
		select {
		case <-o.end:
			return
		case <-time.After(orderClients * orderGap):
		}
		if ch == nil {
			var err error
			if ch, err = openChannel(m, 0); err != nil {
				ch = nil
				continue
			}
		}
		id := newID()
		o.mu.Lock()
		o.sent[id] = time.Now()
		o.mu.Unlock()
		a := ch.send(request{id: id, method: http.MethodPost, host: hostName, path: routePath + "order", body: "one card", budget: orderBudget})
		o.mu.Lock()
		o.answers[id] = a
		o.mu.Unlock()
		if a.err != nil || a.status != http.StatusOK {
			o.rec.add("client: order %s: %v", id, a)
			ch.close()
			ch = nil
		}
	}
}

func (o *orders) stop() {
	close(o.end)
	o.done.Wait()
}

func (o *orders) sentAt(id string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.sent[id]
	return at, ok
}

func (o *orders) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.sent)
}

// result returns the answer that the client of an order got.
func (o *orders) result(id string) answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answers[id]
}
