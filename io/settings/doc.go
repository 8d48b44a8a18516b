// Package settings reads and validates a host's TOML settings. Errors name the setting and its line.
package settings
