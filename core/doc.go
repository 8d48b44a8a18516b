// Package core is the kernel of oleanderlever: domain types, the closed list of error kinds, the plug-in
// registry and the Step function that turns one event into a list of actions. The package and the plug-ins
// below it are pure: they start no goroutine and read no clock, socket, file or global random number.
package core
