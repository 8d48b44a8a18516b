package settings

import (
	"bytes"
	"encoding/hex"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"oleanderlever/core"
)

// Role is a role of a host.
type Role string

// Hosts with RoleEntry serve callers; hosts with RoleKeeper are replicas of the configuration log.
const (
	RoleEntry  Role = "entry"
	RoleKeeper Role = "keeper"
)

// Duration is a time.Duration that is written as a string such as "30s".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return errors.Wrap(err, "duration")
}

// Host holds the settings of one host.
type Host struct {
	Host       string `toml:"host"`
	DataCentre string `toml:"dataCentre"`
	Roles      []Role `toml:"roles"`
	// Replicas are the hosts of the initial replica set; the list must be the same on every host.
	Replicas []string `toml:"keepers"`
	// ReplicasFrom selects whether the initial replica set consists of Replicas or of Seeds.
	ReplicasFrom ReplicaSource `toml:"keepersFrom"`
	// ToleratedFailures is the number of simultaneous replica failures to tolerate if ReplicasFrom is ReplicasFromSeeds.
	// The replica set grows to 2*ToleratedFailures+1 voters.
	ToleratedFailures int `toml:"tolerate"`
	// Bootstrap lets the seeds form the initial replica set; it must be true only at the first start of the system.
	Bootstrap bool `toml:"bootstrap"`
	// Seeds are the addresses of the hosts to contact first.
	Seeds []netip.AddrPort `toml:"seeds"`
	// SeedPort replaces the ports in Seeds if they belong to another service on the same machines; 0 keeps them.
	SeedPort uint16 `toml:"seedPort"`
	// TrustNetwork allows listeners without credentials on addresses other than loopback.
	TrustNetwork bool `toml:"trustNetwork"`
	// Placement selects who places requests on upstreams: dispatchers, each host for its own requests, or a mixture.
	Placement Placement `toml:"placement"`
	// ServeStale lets an isolated host go on serving with the latest configuration that it has.
	ServeStale bool `toml:"serveStale"`
	// UpstreamHeartbeatInterval is the heartbeat interval of upstreams; four missed heartbeats make an upstream
	// unavailable.
	UpstreamHeartbeatInterval Duration `toml:"upstreamBeat"`
	// AssignDelay is how long a new leader waits before it sends assign requests to engines.
	AssignDelay Duration `toml:"orderPause"`
	// MemoryMB is the memory limit of the process in MiB; 0 means no limit. The garbage collector's soft limit is
	// lower.
	MemoryMB int64    `toml:"memoryMB"`
	Retries  Retries  `toml:"retries"`
	Quota    Quota    `toml:"quota"`
	Platform Platform `toml:"platform"`
	// Regions has the region of each data centre; it is empty or missing for one that is in no region. Requests that are
	// restricted to regions run in no other data centre.
	Regions map[string]string `toml:"regions"`
	// DataDir is the data directory of a replica.
	DataDir     string      `toml:"dataFolder"`
	Listen      Listen      `toml:"listen"`
	Credentials Credentials `toml:"credentials"`
	TLS         TLS         `toml:"tls"`
	Requests    Requests    `toml:"requests"`
	LogLevel    string      `toml:"logLevel"`
}

// ReplicaSource is a source of the initial replica set.
type ReplicaSource string

// ReplicasFromList uses Host.Replicas, ReplicasFromSeeds uses Host.Seeds.
const (
	ReplicasFromList  ReplicaSource = "list"
	ReplicasFromSeeds ReplicaSource = "seeds"
)

// Placement selects who places requests on upstreams.
type Placement string

// PlacementPool uses a dispatcher for each pool; with PlacementHost each host places its own requests.
const (
	PlacementPool Placement = "pool"
	PlacementHost Placement = "host"
	// PlacementMixed uses dispatchers for engines only; a host whose dispatcher does not respond places requests itself.
	PlacementMixed Placement = "mixed"
)

// Retries limits the retries of all hosts together.
type Retries struct {
	// Ratio is the number of retries allowed for each completed request.
	Ratio float64 `toml:"share"`
	// Burst is the number of retries allowed in addition within a short time.
	Burst float64 `toml:"burst"`
}

// Quota limits the tokens that hosts may spend without a grant of the quota owner.
type Quota struct {
	// Slack is the number of tokens that an account may use on all hosts together above its rate and burst.
	Slack int64 `toml:"slack"`
}

// Platform holds the listen addresses for a platform: Callers for its callers, Ready for its load balancer's readiness
// checks, Control for its upstreams and operators.
type Platform struct {
	Callers netip.AddrPort `toml:"callers"`
	Ready   netip.AddrPort `toml:"ready"`
	Control netip.AddrPort `toml:"control"`
	// ChecksFencing means that the platform's engines reject assign requests with an outdated fencing token.
	ChecksFencing bool `toml:"fenced"`
}

// IsSet reports whether the host serves a platform, which replaces its own listeners for callers, upstreams and
// operators.
func (p Platform) IsSet() bool { return p.Callers.IsValid() || p.Control.IsValid() }

// Listen holds the addresses on which a host listens.
type Listen struct {
	Callers   netip.AddrPort `toml:"callers"`
	Upstreams netip.AddrPort `toml:"upstreams"`
	Hosts     netip.AddrPort `toml:"hosts"`
	// Advertised is the address for other hosts if it differs from Hosts.
	Advertised netip.AddrPort `toml:"advertised"`
	Operators  netip.AddrPort `toml:"operators"`
	// Metrics is the optional address that serves expvar.
	Metrics netip.AddrPort `toml:"metrics"`
}

// PeerAddr returns the address at which other hosts reach this one.
func (l *Listen) PeerAddr() netip.AddrPort {
	if l.Advertised.IsValid() {
		return l.Advertised
	}
	return l.Hosts
}

// Credentials authenticate hosts, upstreams and operators.
type Credentials struct {
	// HostSecret is shared by all hosts.
	HostSecret string `toml:"hostSecret"`
	// UpstreamSecret authenticates the announcements of upstreams and the requests sent to them.
	UpstreamSecret string     `toml:"upstreamSecret"`
	Operators      []Operator `toml:"operators"`
}

// Operator is a person who may change the configuration.
type Operator struct {
	Name string `toml:"name"`
	// SecretHash is the SHA-256 of the operator's secret, in hex.
	SecretHash string `toml:"secretHash"`
}

// Requests limits the requests of callers.
type Requests struct {
	MaxBodyBytes int      `toml:"maxBodyBytes"`
	Timeout      Duration `toml:"timeout"`
	// ReadTimeout limits how long a caller may take to send a request.
	ReadTimeout Duration `toml:"readTimeout"`
	// DrainTimeout limits a graceful shutdown.
	DrainTimeout Duration `toml:"drainTimeout"`
	// LameDuck is how long a host that shuts down still accepts requests while it reports that it is not ready.
	LameDuck Duration `toml:"lameDuck"`
	// LongLameDuck is the same limit for requests that may not be complete when the host ends, among them most streams.
	LongLameDuck Duration `toml:"streamsDuck"`
}

// Default values of optional settings, and limits.
const (
	defaultMaxBodyBytes = 8 << 20
	defaultTimeout      = 60 * time.Second
	defaultReadTimeout  = 15 * time.Second
	defaultDrainTimeout = 10 * time.Minute
	minSecretBytes      = 16
	// maxToleratedFailures limits the replica set, since its leader sends all entries to each member.
	maxToleratedFailures = 4
)

// Load reads a settings file.
func Load(path string) (*Host, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	h, err := Parse(text)
	return h, errors.Wrap(err, path)
}

// Parse decodes and validates settings. Errors name the setting and its line.
func Parse(text []byte) (*Host, error) {
	h := &Host{LogLevel: "info"}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(h); err != nil {
		return nil, describeDecodeError(err)
	}
	h.FillDefaults()
	h.applySeedPort()
	for _, check := range validators {
		if name, problem := check(h); problem != "" {
			return nil, errors.Newf("line %d: %s: %s", lineOf(text, name), name, problem)
		}
	}
	return h, nil
}

// describeDecodeError converts an error of the TOML library into one line with the setting's name.
func describeDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := &strict.Errors[0]
		line, _ := e.Position()
		return errors.Newf("line %d: %s: unknown setting", line, strings.Join(e.Key(), "."))
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return errors.Newf("line %d: %s: %s", line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return err
}

// lineOf returns the number of the line that sets a name such as "listen.callers", or 1 if there is none.
func lineOf(text []byte, name string) int {
	table, key, found := strings.Cut(name, ".")
	if !found {
		table, key = "", name
	}
	current := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			current = strings.Trim(line, "[] ")
			continue
		}
		left, _, ok := strings.Cut(line, "=")
		if ok && current == table && strings.Trim(left, " \t\"") == key {
			return i + 1
		}
	}
	return 1
}

// FillDefaults sets missing optional settings to their defaults.
func (h *Host) FillDefaults() {
	setDefault(&h.Requests.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&h.Requests.Timeout, Duration{defaultTimeout})
	setDefault(&h.Requests.ReadTimeout, Duration{defaultReadTimeout})
	setDefault(&h.Requests.DrainTimeout, Duration{defaultDrainTimeout})
	setDefault(&h.ReplicasFrom, ReplicasFromList)
	setDefault(&h.Placement, PlacementPool)
}

// applySeedPort replaces the ports of the seeds by SeedPort, if it is set.
func (h *Host) applySeedPort() {
	if h.SeedPort == 0 {
		return
	}
	for i, s := range h.Seeds {
		h.Seeds[i] = netip.AddrPortFrom(s.Addr(), h.SeedPort)
	}
}

// InitialReplicas returns the hosts of the initial replica set; seeds are named by their IP addresses. It returns nil
// if ReplicasFrom is ReplicasFromSeeds and Bootstrap is not set.
func (h *Host) InitialReplicas() []string {
	if h.ReplicasFrom == ReplicasFromList {
		return h.Replicas
	}
	if !h.Bootstrap {
		return nil
	}
	var out []string
	for _, s := range h.Seeds {
		out = append(out, s.Addr().String())
	}
	return out
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// HasRole reports whether the host has role r.
func (h *Host) HasRole(r Role) bool { return slices.Contains(h.Roles, r) }

// validators return the name of an invalid setting and the problem, or two empty strings.
var validators = []func(h *Host) (name, problem string){
	validateNames, validateRoles, validateReplicas, validateListeners, validateTLS, validateExposure, validateCredentials, validateRequests, validatePlacement,
	validateRegions,
}

func validateNames(h *Host) (string, string) {
	if h.Host == "" {
		return "host", "is missing"
	}
	if h.DataCentre == "" {
		return "dataCentre", "is missing"
	}
	return "", ""
}

func validateRoles(h *Host) (string, string) {
	if len(h.Roles) == 0 {
		return "roles", `is missing; must contain "entry", "keeper" or both`
	}
	for _, r := range h.Roles {
		if r != RoleEntry && r != RoleKeeper {
			return "roles", "unknown role " + string(r)
		}
	}
	if h.HasRole(RoleKeeper) && h.DataDir == "" {
		return "dataFolder", "is missing; it is required for the role keeper"
	}
	if !h.HasRole(RoleKeeper) && h.DataDir != "" {
		return "dataFolder", "is set, but the host does not have the role keeper"
	}
	return "", ""
}

func validateReplicas(h *Host) (string, string) {
	switch h.ReplicasFrom {
	case ReplicasFromList:
	case ReplicasFromSeeds:
		return validateSeeds(h)
	default:
		return "keepersFrom", `must be "list" or "seeds"`
	}
	if len(h.Replicas) == 0 {
		return "keepers", "is missing"
	}
	if len(h.Replicas)%2 == 0 {
		return "keepers", "has an even number of hosts; must be odd"
	}
	if slices.Contains(h.Replicas, h.Host) != h.HasRole(RoleKeeper) {
		return "keepers", "contradicts roles: must contain this host if and only if it has the role keeper"
	}
	return "", ""
}

func validateSeeds(h *Host) (string, string) {
	switch {
	case len(h.Replicas) > 0:
		return "keepers", "is set, but keepersFrom is \"seeds\""
	case len(h.Seeds) == 0:
		return "seeds", "is missing"
	case h.ToleratedFailures < 0 || h.ToleratedFailures > maxToleratedFailures:
		return "tolerate", "must be 0 to 4"
	case h.Host != h.Listen.Hosts.Addr().String():
		return "host", "must be the IP address of listen.hosts if keepersFrom is \"seeds\""
	}
	return "", ""
}

func validatePlacement(h *Host) (string, string) {
	if !slices.Contains([]Placement{PlacementPool, PlacementHost, PlacementMixed}, h.Placement) {
		return "placement", `must be "pool", "host" or "mixed"`
	}
	if h.Retries.Ratio < 0 || h.Retries.Burst < 0 {
		return "retries", "must not be negative"
	}
	if h.Quota.Slack < 0 {
		return "quota.slack", "must not be negative"
	}
	if h.MemoryMB < 0 {
		return "memoryMB", "must not be negative"
	}
	return "", ""
}

func validateListeners(h *Host) (string, string) {
	seen := map[netip.AddrPort]string{}
	for _, l := range h.listeners() {
		if !l.addr.IsValid() {
			if h.isOptional(l.name) {
				continue
			}
			return l.name, "is missing"
		}
		if other := seen[l.addr]; other != "" && l.addr.Port() != 0 {
			return l.name, "is the same address as " + other
		}
		seen[l.addr] = l.name
	}
	if h.Platform.Control.IsValid() && h.Listen.Upstreams.IsValid() {
		return "listen.upstreams", "must not be set with platform.control: engines would get each assign request twice"
	}
	return "", ""
}

// isOptional reports whether the listener may be unset.
func (h *Host) isOptional(name string) bool {
	switch name {
	case "listen.metrics":
		return true
	case "listen.callers":
		return h.Platform.IsSet() || !h.HasRole(RoleEntry)
	case "listen.upstreams", "listen.operators":
		return h.Platform.IsSet()
	}
	return false
}

type listener struct {
	name string
	addr netip.AddrPort
}

func (h *Host) listeners() []listener {
	return []listener{
		{"listen.callers", h.Listen.Callers},
		{"listen.upstreams", h.Listen.Upstreams},
		{"listen.hosts", h.Listen.Hosts},
		{"listen.operators", h.Listen.Operators},
		{"listen.metrics", h.Listen.Metrics},
	}
}

// validateExposure rejects listeners without authentication on addresses other than loopback.
func validateExposure(h *Host) (string, string) {
	if h.TrustNetwork {
		return "", ""
	}
	for _, l := range h.listeners() {
		unauthenticated := (l.name == "listen.upstreams" && h.Credentials.UpstreamSecret == "") ||
			(l.name == "listen.hosts" && h.Credentials.HostSecret == "" && !h.TLS.IsSet()) ||
			(l.name == "listen.operators" && len(h.Credentials.Operators) == 0) ||
			l.name == "listen.metrics"
		if unauthenticated && l.addr.IsValid() && !l.addr.Addr().IsLoopback() {
			return l.name, "is not on loopback and has no credentials"
		}
	}
	return "", ""
}

func validateCredentials(h *Host) (string, string) {
	for _, s := range []struct{ name, secret string }{
		{"credentials.hostSecret", h.Credentials.HostSecret},
		{"credentials.upstreamSecret", h.Credentials.UpstreamSecret},
	} {
		if s.secret != "" && len(s.secret) < minSecretBytes {
			return s.name, "is shorter than 16 bytes"
		}
	}
	for _, o := range h.Credentials.Operators {
		hash, err := hex.DecodeString(o.SecretHash)
		if o.Name == "" || err != nil || len(hash) != 32 {
			return "credentials.operators", "each operator must have a name and the hex SHA-256 of a secret"
		}
	}
	return "", ""
}

func validateRegions(h *Host) (string, string) {
	for _, dataCentre := range slices.Sorted(maps.Keys(h.Regions)) {
		if core.ValidateName("data centre", dataCentre) != nil {
			return "regions", "a data centre must have a name of 1 to 128 printable characters without spaces"
		}
		if region := h.Regions[dataCentre]; region != "" && core.ValidateName("region", region) != nil {
			return "regions." + dataCentre, "must be the name of a region, 1 to 128 printable characters without spaces, or empty"
		}
	}
	return "", ""
}

func validateRequests(h *Host) (string, string) {
	if h.Requests.MaxBodyBytes < 1024 || h.Requests.MaxBodyBytes > 1<<28 {
		return "requests.maxBodyBytes", "must be 1 KiB to 256 MiB"
	}
	if h.Requests.Timeout.Duration < time.Second {
		return "requests.timeout", "must be at least 1s"
	}
	if h.Requests.ReadTimeout.Duration < 100*time.Millisecond {
		return "requests.readTimeout", "must be at least 100ms"
	}
	return "", ""
}
