// Package once is the plug-in that lets a call that may not be repeated run at most once over all hosts.
package once
