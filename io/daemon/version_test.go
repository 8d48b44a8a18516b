package daemon_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/io/daemon"
	"oleanderlever/io/engine"
)

func (s *system) versionedEngine(id core.UpstreamID, role core.Role, version core.SoftwareVersion) *engine.Engine {
	addr, err := daemon.FreeAddr()
	require.NoError(s.t, err)
	e, err := engine.Start(engine.Config{
		ID: id, Pool: model, Role: role, Listen: addr, Hosts: s.UpstreamAddrs(), Slots: 4, Pages: 16, SoftwareVersion: version,
		PrefillPerToken: 10 * time.Microsecond, TokenInterval: 10 * time.Millisecond, OutputTokens: outputTokens,
	})
	require.NoError(s.t, err)
	s.engines = append(s.engines, e)
	return e
}

// On the product's own interface a response whose engine ends goes on at another engine of its software version. If there is none, it
// must fail and not be joined from two versions.
func TestResponseGoesOnAtItsSoftwareVersionOnly(t *testing.T) {
	s := startSystem(t, 1, t.TempDir())
	s.configure()
	s.versionedEngine("prefill", core.RolePrefill, "v1")
	engines := map[core.SoftwareVersion][]*engine.Engine{
		"v1": {s.versionedEngine("a", core.RoleDecode, "v1"), s.versionedEngine("b", core.RoleDecode, "v1")},
		"v2": {s.versionedEngine("c", core.RoleDecode, "v2"), s.versionedEngine("d", core.RoleDecode, "v2")},
	}
	s.eventually(func() bool { return s.stream("warm up", func(int) bool { return true }).Complete })
	kill := func() (killed core.SoftwareVersion) {
		for version, list := range engines {
			for i, e := range list {
				if e != nil && len(e.ActiveAttempts()) > 0 {
					e.Kill()
					list[i], killed = nil, version
				}
			}
		}
		return killed
	}
	isGone := func(version core.SoftwareVersion) bool {
		return engines[version][0] == nil && engines[version][1] == nil
	}
	for !isGone("v1") && !isGone("v2") {
		killed := core.SoftwareVersion("")
		st := s.stream("failing", func(token int) bool {
			if token == 5 {
				killed = kill()
			}
			return true
		})
		if killed != "" {
			require.Equal(t, !isGone(killed), st.Complete, "%+v", st.Response)
		}
	}
}
