// Package order is the plug-in that makes engines what the configuration says they should be.
package order
