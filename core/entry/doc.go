// Package entry is the plug-in that drives a caller's request from its arrival to its single response.
package entry
