package dispatch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"oleanderlever/core"
)

// DispatcherSelector determines which host dispatches a pool, by the placement mode.
type DispatcherSelector struct {
	placement core.PlacementMode
	self      core.HostID
	boot      uint64
}

// NewDispatcherSelector returns the DispatcherSelector of a host.
func NewDispatcherSelector(env core.Env) DispatcherSelector {
	return DispatcherSelector{placement: env.Placement, self: env.Self, boot: env.Boot}
}

// DispatcherOf returns the host that dispatches a pool, or false if there is none; plainService is true for pools
// without engines in the configuration.
func (s DispatcherSelector) DispatcherOf(pool core.PoolID, plainService bool, members []core.Member) (core.Member, bool) {
	if s.placement == core.PlacementPerHost || (s.placement == core.PlacementMixed && plainService) {
		return s.LocalDispatcher(), true
	}
	if s.placement == core.PlacementMixed {
		return selectDispatcher(pool, members, func(m *core.Member) bool { return m.Entry })
	}
	return PoolDispatcher(pool, members)
}

// DispatcherExcluding returns the entry host that dispatches a pool of engines if the avoided hosts are left out.
func (s DispatcherSelector) DispatcherExcluding(
	pool core.PoolID, members []core.Member, avoided func(core.HostID) bool,
) (core.Member, bool) {
	return selectDispatcher(pool, members, func(m *core.Member) bool { return m.Entry && !avoided(m.Host) })
}

// LocalDispatcher returns this host as the dispatcher of its own attempts.
func (s DispatcherSelector) LocalDispatcher() core.Member {
	return core.Member{Host: s.self, Boot: s.boot}
}

// IsMixed reports whether the placement mode is mixed.
func (s DispatcherSelector) IsMixed() bool { return s.placement == core.PlacementMixed }

// PoolDispatcher returns the host that dispatches a pool, by rendezvous hashing: the one with the highest hash of pool
// and host. When a host joins or leaves, only the pools that it gets or had change their dispatcher. A consistent hash
// ring was rejected: with few hosts it distributes pools less evenly, and its points must be stored.
func PoolDispatcher(pool core.PoolID, members []core.Member) (core.Member, bool) {
	return selectDispatcher(pool, members, func(*core.Member) bool { return true })
}

// selectDispatcher returns the eligible member with the highest rendezvous hash for a pool, leaving hosts excepted.
func selectDispatcher(pool core.PoolID, members []core.Member, eligible func(*core.Member) bool) (core.Member, bool) {
	var best core.Member
	var highestHash uint64
	found := false
	for i := range members {
		m := &members[i]
		if hash := rendezvousHash(pool, m.Host); eligible(m) && !m.Leaving && (!found || hash > highestHash) {
			best, highestHash, found = *m, hash, true
		}
	}
	return best, found
}

// rendezvousHash returns the rendezvous hash of a pool and a host.
func rendezvousHash(pool core.PoolID, host core.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(pool))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}

// jsonSafeShift leaves 53 bits of a hash, which every JSON parser represents exactly.
const jsonSafeShift = 11

// chainHash hashes a block together with the hash of the block before it.
func chainHash(prev uint64, block []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, prev))
	_, _ = d.Write(block)
	return d.Sum64() >> jsonSafeShift
}

// prefixBlockBytes is the estimated size of one prefix block of a prompt.
const prefixBlockBytes = int(core.PrefixBlockTokens) * BytesPerToken

// BytesPerToken is the assumed number of bytes per token, for prompts that no engine has tokenized yet.
const BytesPerToken = 4

// maxPrefixBlocks bounds the prefix hashes of one request.
const maxPrefixBlocks = 128

// PrefixHashes returns the chained hashes of a prompt's complete leading blocks, at most maxPrefixBlocks.
func PrefixHashes(prompt []byte) []uint64 {
	var out []uint64
	prev := uint64(0)
	for len(prompt) >= prefixBlockBytes && len(out) < maxPrefixBlocks {
		prev = chainHash(prev, prompt[:prefixBlockBytes])
		out = append(out, prev)
		prompt = prompt[prefixBlockBytes:]
	}
	return out
}
