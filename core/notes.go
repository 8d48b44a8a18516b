package core

// Notes is what a data directory holds besides the replicated log: what one host has seen, which others may miss if all of them end
// at once. It may lack the last moments before the end of the host.
type Notes struct {
	Origins    []StreamOrigin
	Quarantine QuarantineList
}

// SaveOrigins adds the origins of streams to the notes.
type SaveOrigins struct {
	Origins []StreamOrigin
	// Complete means that Origins replaces those that are stored.
	Complete bool
}

// SaveQuarantine replaces the quarantines and crashes in the notes.
type SaveQuarantine struct{ List QuarantineList }
