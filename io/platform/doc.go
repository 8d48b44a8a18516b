// Package platform speaks to the platform that a host runs on: decision log lines and metrics.
package platform
