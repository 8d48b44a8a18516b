// Package settings reads a host's TOML settings and refuses unknown and contradictory ones by name and line.
package settings
