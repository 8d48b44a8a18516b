// Package quarantine is the plug-in that finds prompt parts which crash engines and keeps requests with them away.
package quarantine
