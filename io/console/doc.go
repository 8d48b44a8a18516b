// Package console implements the command line; each command has its own type.
package console
