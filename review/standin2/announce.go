package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

const heartbeatPause = 1200 * time.Millisecond

// announcement is what a runner says of itself in its heartbeats.
type announcement struct {
	id, service, addr string
	// stage is empty for a plain service.
	stage   string
	slots   int
	control []string
}

// announce sends heartbeats to one control address at a time until stopped is closed.
func announce(a *announcement, stopped <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	born := time.Now().UnixMilli()
	for sequence, at := 1, 0; ; sequence++ {
		fields := map[string]any{
			"Service": a.service, "Address": a.addr, "Zone": zone, "Version": "v1", "Slots": a.slots, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": sequence, "born": born,
		}
		if a.stage != "" {
			fields["Stage"] = a.stage
			fields["Models"] = []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}
		}
		body, _ := json.Marshal(fields)
		for range a.control {
			response, err := client.Post("http://"+a.control[at%len(a.control)]+"/Instances.Heartbeat/"+a.id, "application/json", bytes.NewReader(body))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode/100 == 2 {
					break
				}
			}
			at++
		}
		select {
		case <-time.After(heartbeatPause):
		case <-stopped:
			return
		}
	}
}
