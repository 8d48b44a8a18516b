package core

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Event is an external occurrence, or a notification from one component to the others.
type Event any

// Action is an instruction of the kernel to its environment.
type Action any

// Component is an instance of a plug-in in one kernel. All function fields except Handle may be nil.
type Component struct {
	// Handle handles one event; it ignores events of unknown types.
	Handle func(t *Turn, ev Event)
	// NextDeadline returns when the component needs a Tick, or the zero time.
	NextDeadline func() time.Time
	// Save adds the component's replicated state to a snapshot.
	Save func(s *Snapshot)
	// Load replaces the component's replicated state with that of a snapshot.
	Load func(t *Turn, s *Snapshot)
	// Gauges reports the component's gauges; names are in camel case.
	Gauges func(set func(name string, value int64))
}

// Plugin creates a Component for a kernel.
type Plugin struct {
	Name string
	// Rank orders the components of a kernel; lower ranks handle an event first.
	Rank int
	New  func(env Env) Component
}

// Env is the environment of a kernel, as its components see it.
type Env struct {
	Self       HostID
	DataCentre DataCentre
	// Regions has the region of each data centre that is in one.
	Regions map[DataCentre]Region
	// Disk identifies the data directory; it is empty on a host without one.
	Disk DiskID
	// Addr is the address for messages from other hosts.
	Addr netip.AddrPort
	// Boot identifies this start of the process; later starts have higher numbers.
	Boot uint64
	// Seeds are the addresses of the hosts to contact first.
	Seeds []netip.AddrPort
	// InitialReplicas are the hosts of the initial replica set.
	InitialReplicas []HostID
	// TargetVoters is the number of voters to maintain: hosts with a data directory that are not in InitialReplicas
	// join as standbys and replace voters that fail. Zero keeps the replica set as configured.
	TargetVoters int
	// Entry is true on a host that serves callers.
	Entry bool
	// Placement selects who places a pool's requests.
	Placement PlacementMode
	// ServeStale lets a host that is isolated from the replicas go on serving with its last configuration.
	ServeStale bool
	// RetryBudget limits the retries of all hosts together.
	RetryBudget RetryBudget
	// Quota limits what hosts may spend without a grant.
	Quota QuotaPolicy
	// AssignDelay is how long a new leader waits before it sends assign requests to engines.
	AssignDelay time.Duration
	// UpstreamHeartbeatTimeout is how long an upstream may miss heartbeats and still get new work; zero means the
	// default.
	UpstreamHeartbeatTimeout time.Duration
	// Rand is the kernel's only source of random numbers.
	Rand *rand.Rand
	// StoredState is what the data directory held when the kernel was created.
	StoredState StoredState
	// Limits bounds the host's tables.
	Limits Limits
}

// Limits bounds the number of entries in a host's tables.
type Limits struct {
	Requests           int
	Upstreams          int
	Hosts              int
	Commands           int
	IdempotencyRecords int
}

// DefaultLimits returns one host's limits, with room for the growth that is expected over two years.
func DefaultLimits() Limits {
	return Limits{Requests: 4096, Upstreams: 4096, Hosts: 1024, Commands: 4096, IdempotencyRecords: 65536}
}

// PlacementMode selects who places a pool's requests.
type PlacementMode uint8

const (
	// PlacementPerPool gives each pool one dispatcher, which knows all reservations.
	PlacementPerPool PlacementMode = iota
	// PlacementPerHost lets each host place its own requests, so that no failure of another host can delay them.
	PlacementPerHost
	// PlacementMixed uses a dispatcher for each pool of engines and places requests to plain services on each host. A
	// host whose dispatchers are unresponsive places the requests itself.
	PlacementMixed
)

// RetryBudget limits retries to a ratio of the completed requests plus a burst.
type RetryBudget struct {
	Ratio float64
	// Burst is divided between the entry hosts if Shared is set; otherwise each host has the full burst.
	Burst  float64
	Shared bool
}

// QuotaPolicy limits what hosts may spend of a client account's tokens without a grant. Overdraft and
// FallbackRateShare are divided between the entry hosts. The zero value allows nothing.
type QuotaPolicy struct {
	// Overdraft is the number of tokens per account that all hosts together may spend ahead of their grants.
	Overdraft Tokens
	// InitialTokens is the number of tokens in each of a new quota owner's buckets, since it cannot know what its
	// predecessor had left.
	InitialTokens Tokens
	// FallbackRateShare is the share of an account's rate that all hosts together may spend while the quota owner is
	// unresponsive.
	FallbackRateShare float64
	// FallbackBurst is the number of tokens per account that the account's deputy grants at once while the quota owner
	// is unresponsive. Zero means that there are no deputies.
	FallbackBurst Tokens
}

// DefaultRetryBudget returns the budget of a host without settings for it.
func DefaultRetryBudget() RetryBudget { return RetryBudget{Ratio: 0.1, Burst: 20} }

var registeredPlugins []Plugin

// Register registers a plug-in; plug-ins call it from their init functions. It panics if the name is already
// registered, which is a programming error.
func Register(p Plugin) {
	if slices.ContainsFunc(registeredPlugins, func(registered Plugin) bool { return registered.Name == p.Name }) {
		panic(fmt.Sprintf("core: plug-in %q is registered twice", p.Name))
	}
	registeredPlugins = append(registeredPlugins, p)
}

// Plugins returns the registered plug-ins ordered by rank, then by name.
func Plugins() []Plugin {
	sorted := slices.Clone(registeredPlugins)
	slices.SortFunc(sorted, comparePlugins)
	return sorted
}

func comparePlugins(a, b Plugin) int {
	if a.Rank != b.Rank {
		return a.Rank - b.Rank
	}
	return strings.Compare(a.Name, b.Name)
}
