// Package lease is the plug-in that distributes the configuration to all hosts and limits how long a host may use it.
package lease
