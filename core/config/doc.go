// Package config is the plug-in that decides operators' commands: the replicated state machine of the configuration
// on keepers, and the way of a command from any host to the leader and back.
package config
