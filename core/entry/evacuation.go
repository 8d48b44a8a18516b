package entry

import "oleanderlever/core"

// evacuationFailure returns the failure of an attempt at an upstream whose data centre is evacuated, or nil. A stream that
// the upstream already holds is no exception: it would be another request to it. The dispatcher has not heard of the
// evacuation yet, which is no reason to avoid it. A dispatcher that names no data centre can't be checked.
func (c *component) evacuationFailure(to departure) *core.Failure {
	if !c.config.IsEvacuated(to.dataCentre) {
		return nil
	}
	return core.Fail(core.KindOverloaded, "data centre %s of upstream %s is evacuated", to.dataCentre, to.id)
}

// namesEvacuated reports whether an upstream of a grant is in an evacuated data centre.
func (c *component) namesEvacuated(m *core.PlacementGrant) bool {
	return c.config.IsEvacuated(m.PrefillDataCentre) || c.config.IsEvacuated(m.DecodeDataCentre)
}

// tellVersion tells a dispatcher which configuration version this host has, so that it asks for the version. It has it
// before the second request for a placement from now arrives, unless a message is lost.
func (c *component) tellVersion(t *core.Turn, dispatcher core.HostID) {
	t.Send(dispatcher, core.LeaseHint{Version: c.config.Version})
}
