package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// The deployment of case 7 has the figures of the plain service of the site sahten-amman.
const (
	lookupPrefix  = "/cufi504/fi50/"
	orderPrefix   = "/puxa403/"
	orderService  = "wuno96b"
	orderRunners  = 4
	orderTimeout  = 2500 * time.Millisecond
	orderTargetMs = 150
	headChannels  = 3 * siteFronts
	answerWait    = 2 * time.Second
	// configTime is the time from the ack of a desired state to its use everywhere (ConfigMs).
	configTime = 2 * time.Second
)

// playHead has clients send a HEAD request of a route and then an order on the same channel, before and after the operator has
// removed the route.
func playHead(s *scenario) error {
	runners, err := s.startOrderService(orderDocument(1, true, orderTimeout), serviceBytes)
	defer func() {
		for _, r := range runners {
			r.stop()
		}
	}()
	if err != nil {
		return err
	}
	broken := 0
	for i := range headChannels {
		if i == siteFronts && s.trouble {
			if err := s.fleet.putConfig(orderDocument(2, false, orderTimeout), readyWait); err != nil {
				return err
			}
			s.record.line("the desired state without the route %s is acknowledged", lookupPrefix)
			time.Sleep(configTime + time.Second)
		}
		ok, err := s.headThenOrder(s.fleet.fronts[i%siteFronts], runners)
		if err != nil {
			return err
		}
		if !ok {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: MIXED: %d of %d channels got bytes that are no answer", errBroken, broken, headChannels)
	}
	return nil
}

// startOrderService starts the machines and the runners of a plain service, and waits until routes lead there.
func (s *scenario) startOrderService(document string, answerBytes int) ([]*serviceRunner, error) {
	var err error
	if s.fleet, err = startFleet(siteCores, siteFronts); err != nil {
		return nil, err
	}
	var runners []*serviceRunner
	for i := range orderRunners {
		r := &serviceRunner{
			id: fmt.Sprintf("i-02d9e6b%d", i), service: orderService, addr: fmt.Sprintf("%s:%d", s.fleet.ips.next(), runnerPort),
			control: s.fleet.control(), record: s.record, answerBytes: answerBytes,
		}
		if err := r.start(); err != nil {
			return runners, err
		}
		runners = append(runners, r)
	}
	if err := s.fleet.putConfig(document, readyWait); err != nil {
		return runners, err
	}
	if err := s.fleet.waitReady(); err != nil {
		return runners, err
	}
	time.Sleep(settleTime)
	return runners, nil
}

func orderDocument(version int, withLookups bool, timeout time.Duration) string {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": streamHost, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout.Milliseconds(),
			"TargetLatencyMs": orderTargetMs, "Priority": 2, "Service": orderService, "MaxAttempts": attempts, "Public": false,
		}
	}
	routes := []map[string]any{route("r-8m82thh", orderPrefix, "unsafe", 1)}
	if withLookups {
		routes = append(routes, route("r-26tta82", lookupPrefix, "safe", 2))
	}
	text, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": orderService, "HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
		"Tenants":  []map[string]any{{"Name": tenantName, "ApiKeys": []string{apiKey}, "Priority": 1, "Unit": "token_stream", "PlainTokens": 200}},
	})
	return string(text)
}

// headThenOrder sends a HEAD request and then an order on one channel, and reports whether both got an answer of the protocol.
func (s *scenario) headThenOrder(front *machine, runners []*serviceRunner) (bool, error) {
	c, err := openChannel(front)
	if err != nil {
		return false, err
	}
	defer c.close()
	_, head, err := s.call(c, http.MethodHead, lookupPrefix)
	if err != nil {
		return false, fmt.Errorf("HEAD: %w", err)
	}
	if head.Close {
		s.record.line("%s closes the channel after the HEAD", front.name)
		return true, nil
	}
	id, order, err := s.call(c, http.MethodPost, orderPrefix)
	ran := 0
	for _, r := range runners {
		ran += r.runsOf(id)
	}
	if err != nil {
		s.record.line("%s: order %s ran %d times, and no answer to it can be read on the channel: %v", front.name, id, ran, err)
		return false, nil
	}
	return order.StatusCode == http.StatusOK && ran == 1, nil
}

// call sends a request on a channel and reads its answer. An answer to HEAD has no body, whatever its header says.
func (s *scenario) call(c *channel, method, prefix string) (id string, response *http.Response, err error) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	s.record.line("%s %s2f is sent, id %s", method, prefix, id)
	text := fmt.Sprintf("%s %s2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, prefix, streamHost, id, orderTimeout.Milliseconds(), apiKey)
	if method == http.MethodPost {
		text += "Content-Length: 2\r\n\r\n{}"
	} else {
		text += "\r\n"
	}
	if _, err = io.WriteString(c.conn, text); err != nil {
		return id, nil, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(answerWait))
	if response, err = http.ReadResponse(c.reader, &http.Request{Method: method}); err != nil {
		return id, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil {
		s.record.line("id %s is answered with %d, X-Request-Id %s and %d bytes", id, response.StatusCode, response.Header.Get("X-Request-Id"), len(body))
	}
	return id, response, err
}
