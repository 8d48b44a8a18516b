// Package quarantine is the plug-in that finds requests, and parts of prompts, which crash upstreams, and keeps requests with them
// away.
package quarantine
