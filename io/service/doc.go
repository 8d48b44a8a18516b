// Package service is a stand-in for a plain service: it counts orders by their content, answers look-ups, and has
// faults that can be switched on.
package service
