package core

import "slices"

// Region names an area with one or more data centres; routes and client accounts may restrict their requests to regions.
type Region string

// MaxRegions is the largest number of regions in one list.
const MaxRegions = 64

// AllowsRegion reports whether a request that is restricted to a list of regions may run in one. An empty list allows every
// region; any other one does not allow the empty region of a data centre that is in none.
func AllowsRegion(list []Region, region Region) bool {
	return len(list) == 0 || (region != "" && slices.Contains(list, region))
}

// IntersectRegions returns the regions that two lists allow, and false if that is none.
func IntersectRegions(a, b []Region) ([]Region, bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	var both []Region
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}

// validateRegions returns a KindBadRequest error if a list of regions is too long or a name is malformed.
func validateRegions(field string, list []Region) error {
	if len(list) > MaxRegions {
		return Fail(KindBadRequest, "%s: must have at most %d regions, got %d", field, MaxRegions, len(list))
	}
	for _, region := range list {
		if err := ValidateName(field, string(region)); err != nil {
			return err
		}
	}
	return nil
}
