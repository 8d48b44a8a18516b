// Package config is the plug-in that executes operators' commands. It implements the replicated state machine of the
// configuration on the replicas, and forwards commands from any host to the leader and their results back.
package config
