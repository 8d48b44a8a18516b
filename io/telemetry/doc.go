// Package telemetry writes log lines and serves metrics.
package telemetry
