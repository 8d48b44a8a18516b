// Package order is the plug-in that brings engines to their assigned state.
package order
