// Package member is the plug-in that knows which hosts are alive.
package member
