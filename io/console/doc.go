// Package console is the command line: one type for each command.
package console
