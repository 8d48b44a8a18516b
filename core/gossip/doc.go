// Package gossip is the plug-in that spreads observations among the entry hosts.
package gossip
