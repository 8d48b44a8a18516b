// Package entry is the plug-in that takes a caller's request from its arrival to its one answer.
package entry
