// Package core is the kernel of oleanderlever: domain types, error kinds, the plug-in registry and the Step function,
// which turns one event into a list of actions. The package and the plug-ins below it are deterministic: they start
// no goroutine and read no clock, socket, file or global random number.
package core
