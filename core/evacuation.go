package core

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxEvacuated limits the data centres that are evacuated at the same time.
	maxEvacuated = 256
	// maxEvacuationChanges limits the data centres whose last order is remembered, including those whose evacuation has
	// ended. It is above maxEvacuated, so that ended evacuations are remembered too.
	maxEvacuationChanges = 1024
)

// AnyVersion is the ExpectedVersion of an order to begin or end an evacuation that does not depend on the current
// version of the configuration. Its Change.SeenVersion is checked instead. For all other changes it is a version that no
// configuration has.
const AnyVersion = ConfigVersion(math.MaxUint64)

// EvacuationChange is the configuration version in which the evacuation of a data centre last began or ended.
type EvacuationChange struct {
	DataCentre DataCentre    `cbor:"dataCentre" json:"dataCentre"`
	Version    ConfigVersion `cbor:"version"    json:"version"`
}

func evacuatedDataCentre(d DataCentre) DataCentre { return d }

func changedDataCentre(e EvacuationChange) DataCentre { return e.DataCentre }

// IsEvacuation reports whether the change begins or ends the evacuation of a data centre.
func (c *Change) IsEvacuation() bool {
	return c.Kind == ChangeEvacuate || c.Kind == ChangeEndEvacuation
}

// IsEvacuationOrder reports whether the command begins or ends an evacuation whatever the current version is.
func (c *Command) IsEvacuationOrder() bool {
	return c.Change.IsEvacuation() && c.ExpectedVersion == AnyVersion
}

// IsEvacuated reports whether nothing may be sent to the upstreams of a data centre.
func (c *Config) IsEvacuated(d DataCentre) bool {
	if len(c.Evacuated) == 0 {
		return false
	}
	_, ok := slices.BinarySearch(c.Evacuated, d)
	return ok
}

// CheckSeenVersion returns a KindVersionConflict failure if the evacuation of the change's data centre began or ended
// after the version that the host of the order knew. The order may then be older than that change.
func (c *Config) CheckSeenVersion(change *Change) *Failure {
	changed := c.ForgottenEvacuations
	if last, ok := findSorted(c.EvacuationChanges, change.DataCentre, changedDataCentre); ok {
		changed = last.Version
	}
	if change.SeenVersion >= changed {
		return nil
	}
	return Fail(KindVersionConflict, "the evacuation of %s may have changed in version %d, after version %d in which the order was received; send the order again",
		change.DataCentre, changed, change.SeenVersion)
}

// evacuate adds a data centre to the evacuated ones. One that is there already stays there, but its last change is this
// one: a delayed end that was received before must not be executed after this order was acknowledged.
func (c *Config) evacuate(d DataCentre) error {
	if !c.IsEvacuated(d) && len(c.Evacuated) >= maxEvacuated {
		return Fail(KindBadRequest, "at most %d data centres can be evacuated", maxEvacuated)
	}
	c.Evacuated = putSorted(c.Evacuated, d, evacuatedDataCentre)
	c.recordEvacuationChange(d)
	return nil
}

// endEvacuation removes a data centre from the evacuated ones, if it is there. The change is recorded in any case, as in
// evacuate.
func (c *Config) endEvacuation(d DataCentre) {
	c.Evacuated, _ = removeSorted(c.Evacuated, d, evacuatedDataCentre)
	c.recordEvacuationChange(d)
}

// recordEvacuationChange records the current version as that of the data centre's last change. Above
// maxEvacuationChanges, the oldest change is forgotten; orders of data centres that are not in the list then count as
// stale if they are older than it.
func (c *Config) recordEvacuationChange(d DataCentre) {
	c.EvacuationChanges = putSorted(c.EvacuationChanges, EvacuationChange{DataCentre: d, Version: c.Version}, changedDataCentre)
	if len(c.EvacuationChanges) <= maxEvacuationChanges {
		return
	}
	oldest := slices.MinFunc(c.EvacuationChanges, func(a, b EvacuationChange) int { return cmp.Compare(a.Version, b.Version) })
	c.EvacuationChanges, _ = removeSorted(c.EvacuationChanges, oldest.DataCentre, changedDataCentre)
	c.ForgottenEvacuations = oldest.Version
}

// validateEvacuations returns a KindBadRequest error if the lists of evacuations are too long, not sorted or have a
// malformed name; lookups rely on the order.
func (c *Config) validateEvacuations() error {
	if len(c.Evacuated) > maxEvacuated || len(c.EvacuationChanges) > maxEvacuationChanges {
		return Fail(KindBadRequest, "configuration: has %d evacuated data centres and %d changes of them", len(c.Evacuated), len(c.EvacuationChanges))
	}
	names := slices.Clone(c.Evacuated)
	for _, change := range c.EvacuationChanges {
		names = append(names, change.DataCentre)
	}
	for _, name := range names {
		if err := ValidateName("dataCentre", string(name)); err != nil {
			return err
		}
	}
	if !isSortedBy(c.Evacuated, evacuatedDataCentre) || !isSortedBy(c.EvacuationChanges, changedDataCentre) {
		return Fail(KindBadRequest, "configuration: the data centres are not sorted")
	}
	return nil
}

// isSortedBy reports whether a list is sorted by distinct data centres.
func isSortedBy[T any](list []T, idOf func(T) DataCentre) bool {
	for i := 1; i < len(list); i++ {
		if idOf(list[i-1]) >= idOf(list[i]) {
			return false
		}
	}
	return true
}
