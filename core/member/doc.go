// Package member implements cluster membership and the detection of failed hosts.
package member
