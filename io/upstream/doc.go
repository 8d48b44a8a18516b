// Package upstream speaks to model engines and plain services: announcements and reports come in, prefills, decodes,
// cancels and calls go out. docs/PROTOCOL.md describes both directions.
package upstream
