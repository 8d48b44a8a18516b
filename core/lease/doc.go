// Package lease is the plug-in that brings the configuration to every host and limits how long a host may act on it.
package lease
