package settings

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Role says what a host does.
type Role string

// The roles of a host.
const (
	RoleEntry  Role = "entry"
	RoleKeeper Role = "keeper"
)

// Duration is a time.Duration that is written as text, such as "30s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return errors.Wrap(err, "duration")
}

// Host is the settings of one host.
type Host struct {
	Host       string `toml:"host"`
	DataCentre string `toml:"dataCentre"`
	Roles      []Role `toml:"roles"`
	// Keepers are the hosts that form the first keeper set, the same list on every host.
	Keepers []string `toml:"keepers"`
	// KeepersFrom says where the first keeper set comes from: the list above, or the seeds.
	KeepersFrom Source `toml:"keepersFrom"`
	// Tolerate is how many keepers may be lost at once where the seeds form the set, which grows to twice as many and one.
	Tolerate int `toml:"tolerate"`
	// Bootstrap lets the seeds form the keeper set; it is true only at the very first start of the whole system.
	Bootstrap bool `toml:"bootstrap"`
	// Seeds are the addresses of other hosts to meet first.
	Seeds []netip.AddrPort `toml:"seeds"`
	// SeedPort replaces the ports in Seeds, where these are of another service on the same machines; 0 keeps them.
	SeedPort uint16 `toml:"seedPort"`
	// TrustNetwork allows listeners beyond loopback without credentials.
	TrustNetwork bool `toml:"trustNetwork"`
	// Placement says who chooses upstreams: a dispatcher for each pool, or each host for its own requests.
	Placement Placement `toml:"placement"`
	// ServeStale lets a host that was cut off serve on with the newest configuration that it has.
	ServeStale bool `toml:"serveStale"`
	// UpstreamBeat is how often upstreams announce themselves; after four missed beats one counts as silent.
	UpstreamBeat Duration `toml:"upstreamBeat"`
	// OrderPause is how long a new leader waits before it gives orders to engines.
	OrderPause Duration `toml:"orderPause"`
	// MemoryMB is what the process may use at most; the garbage collector keeps well below.
	MemoryMB int64    `toml:"memoryMB"`
	Retries  Retries  `toml:"retries"`
	Quota    Quota    `toml:"quota"`
	Platform Platform `toml:"platform"`
	// DataFolder holds a keeper's durable state.
	DataFolder  string      `toml:"dataFolder"`
	Listen      Listen      `toml:"listen"`
	Credentials Credentials `toml:"credentials"`
	TLS         TLS         `toml:"tls"`
	Requests    Requests    `toml:"requests"`
	LogLevel    string      `toml:"logLevel"`
}

// Source says where a list comes from.
type Source string

// The sources of the first keeper set.
const (
	SourceList  Source = "list"
	SourceSeeds Source = "seeds"
)

// Placement says who chooses upstreams.
type Placement string

// The ways to choose upstreams.
const (
	PlacementPool Placement = "pool"
	PlacementHost Placement = "host"
	// PlacementMixed has dispatchers for engines only, and each host choose where its dispatcher does not answer.
	PlacementMixed Placement = "mixed"
)

// Retries bounds the retries of all hosts together.
type Retries struct {
	// Share is how many retries a request earns.
	Share float64 `toml:"share"`
	// Burst is how many retries all hosts together may add to it within a short time.
	Burst float64 `toml:"burst"`
}

// Quota bounds what hosts may spend that nobody has lent them.
type Quota struct {
	// Slack is how many tokens above its rate and burst an account may get over all hosts together.
	Slack int64 `toml:"slack"`
}

// Platform is the addresses on which a host serves a platform's callers, its balancer, and its upstreams and operators.
type Platform struct {
	Callers netip.AddrPort `toml:"callers"`
	Ready   netip.AddrPort `toml:"ready"`
	Control netip.AddrPort `toml:"control"`
	// Fenced is true where the platform's engines refuse orders with an old fencing number.
	Fenced bool `toml:"fenced"`
}

// IsSet reports whether the host serves a platform, in place of callers, upstreams and operators of its own.
func (p Platform) IsSet() bool { return p.Callers.IsValid() || p.Control.IsValid() }

// Listen is the addresses on which a host serves its peers.
type Listen struct {
	Callers   netip.AddrPort `toml:"callers"`
	Upstreams netip.AddrPort `toml:"upstreams"`
	Hosts     netip.AddrPort `toml:"hosts"`
	// Advertised is where other hosts reach this one, if that is not the address at which it listens for them.
	Advertised netip.AddrPort `toml:"advertised"`
	Operators  netip.AddrPort `toml:"operators"`
	// Metrics serves expvar; unset means that it is not served.
	Metrics netip.AddrPort `toml:"metrics"`
}

// Reached returns where other hosts reach this one.
func (l *Listen) Reached() netip.AddrPort {
	if l.Advertised.IsValid() {
		return l.Advertised
	}
	return l.Hosts
}

// Credentials let peers prove who they are.
type Credentials struct {
	// HostSecret is shared by all hosts.
	HostSecret string `toml:"hostSecret"`
	// UpstreamSecret is what upstreams send with their announcements, and what they get with orders.
	UpstreamSecret string     `toml:"upstreamSecret"`
	Operators      []Operator `toml:"operators"`
}

// Operator is one person who may change the configuration.
type Operator struct {
	Name string `toml:"name"`
	// SecretHash is the SHA-256 of the operator's secret, in hex.
	SecretHash string `toml:"secretHash"`
}

// Requests bounds what callers may send.
type Requests struct {
	MaxBodyBytes int      `toml:"maxBodyBytes"`
	Timeout      Duration `toml:"timeout"`
	// ReadTimeout bounds how long a caller may take to send a request.
	ReadTimeout Duration `toml:"readTimeout"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `toml:"drainTimeout"`
	// LameDuck is how long a host that shuts down still takes requests while it says that it is not ready.
	LameDuck Duration `toml:"lameDuck"`
	// StreamsDuck is how long it still takes streams, which last longer.
	StreamsDuck Duration `toml:"streamsDuck"`
}

// Default values of optional settings.
const (
	defaultMaxBodyBytes = 8 << 20
	defaultTimeout      = 60 * time.Second
	defaultReadTimeout  = 15 * time.Second
	defaultDrainTimeout = 10 * time.Minute
	minSecretBytes      = 16
	// maxTolerate bounds the keeper set, whose leader sends everything to each member.
	maxTolerate = 4
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

// Parse reads settings and checks them; errors name the setting and its line.
func Parse(text []byte) (*Host, error) {
	h := &Host{LogLevel: "info"}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(h); err != nil {
		return nil, explain(err)
	}
	h.FillDefaults()
	h.applySeedPort()
	for _, check := range checks {
		if name, problem := check(h); problem != "" {
			return nil, errors.Newf("line %d: %s: %s", lineOf(text, name), name, problem)
		}
	}
	return h, nil
}

// explain turns the library's errors into one line that names the setting.
func explain(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := &strict.Errors[0]
		line, _ := e.Position()
		return errors.Newf("line %d: %s: there is no such setting", line, strings.Join(e.Key(), "."))
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return errors.Newf("line %d: %s: %s", line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return err
}

// lineOf finds the line that sets a name such as "listen.callers", or 1 where none does.
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
		if ok && current == table && strings.TrimSpace(left) == key {
			return i + 1
		}
	}
	return 1
}

// FillDefaults sets the optional settings that are missing.
func (h *Host) FillDefaults() {
	setDefault(&h.Requests.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&h.Requests.Timeout, Duration{defaultTimeout})
	setDefault(&h.Requests.ReadTimeout, Duration{defaultReadTimeout})
	setDefault(&h.Requests.DrainTimeout, Duration{defaultDrainTimeout})
	setDefault(&h.KeepersFrom, SourceList)
	setDefault(&h.Placement, PlacementPool)
}

// applySeedPort gives the seeds the port on which hosts speak to each other.
func (h *Host) applySeedPort() {
	if h.SeedPort == 0 {
		return
	}
	for i, s := range h.Seeds {
		h.Seeds[i] = netip.AddrPortFrom(s.Addr(), h.SeedPort)
	}
}

// FirstKeepers returns the hosts that form the first keeper set. Where the seeds form it, a host is named by its IP number.
func (h *Host) FirstKeepers() []string {
	if h.KeepersFrom == SourceList {
		return h.Keepers
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

// HasRole reports whether the host has a role.
func (h *Host) HasRole(r Role) bool { return slices.Contains(h.Roles, r) }

// checks return the name of a setting and what is wrong with it, or two empty texts.
var checks = []func(h *Host) (name, problem string){
	checkNames, checkRoles, checkKeepers, checkListen, checkTLS, checkExposed, checkCredentials, checkRequests, checkPlacement,
}

func checkNames(h *Host) (string, string) {
	if h.Host == "" {
		return "host", "is missing"
	}
	if h.DataCentre == "" {
		return "dataCentre", "is missing"
	}
	return "", ""
}

func checkRoles(h *Host) (string, string) {
	if len(h.Roles) == 0 {
		return "roles", `is missing; want "entry", "keeper" or both`
	}
	for _, r := range h.Roles {
		if r != RoleEntry && r != RoleKeeper {
			return "roles", "there is no role " + string(r)
		}
	}
	if h.HasRole(RoleKeeper) && h.DataFolder == "" {
		return "dataFolder", "is missing; a keeper needs one"
	}
	if !h.HasRole(RoleKeeper) && h.DataFolder != "" {
		return "dataFolder", "is set, but the host is no keeper"
	}
	return "", ""
}

func checkKeepers(h *Host) (string, string) {
	switch h.KeepersFrom {
	case SourceList:
	case SourceSeeds:
		return checkSeedKeepers(h)
	default:
		return "keepersFrom", `want "list" or "seeds"`
	}
	if len(h.Keepers) == 0 {
		return "keepers", "is missing"
	}
	if len(h.Keepers)%2 == 0 {
		return "keepers", "has an even number of hosts; use 1, 3 or 5"
	}
	if slices.Contains(h.Keepers, h.Host) != h.HasRole(RoleKeeper) {
		return "keepers", "contradicts roles: list this host if, and only if, it is a keeper"
	}
	return "", ""
}

func checkSeedKeepers(h *Host) (string, string) {
	switch {
	case len(h.Keepers) > 0:
		return "keepers", "is set, but the seeds form the keeper set"
	case len(h.Seeds) == 0:
		return "seeds", "is missing"
	case h.Tolerate < 0 || h.Tolerate > maxTolerate:
		return "tolerate", "want 0 to 4"
	case h.Host != h.Listen.Hosts.Addr().String():
		return "host", "must be the IP number of listen.hosts where the seeds form the keeper set"
	}
	return "", ""
}

func checkPlacement(h *Host) (string, string) {
	if !slices.Contains([]Placement{PlacementPool, PlacementHost, PlacementMixed}, h.Placement) {
		return "placement", `want "pool", "host" or "mixed"`
	}
	if h.Retries.Share < 0 || h.Retries.Burst < 0 {
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

func checkListen(h *Host) (string, string) {
	seen := map[netip.AddrPort]string{}
	for _, l := range h.listeners() {
		if !l.addr.IsValid() {
			if h.mayLack(l.name) {
				continue
			}
			return l.name, "is missing"
		}
		if other := seen[l.addr]; other != "" && l.addr.Port() != 0 {
			return l.name, "is the same address as " + other
		}
		seen[l.addr] = l.name
	}
	return "", ""
}

// mayLack reports whether a listener is optional.
func (h *Host) mayLack(name string) bool {
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

// checkExposed refuses listeners beyond loopback that anybody could use.
func checkExposed(h *Host) (string, string) {
	if h.TrustNetwork {
		return "", ""
	}
	for _, l := range h.listeners() {
		open := (l.name == "listen.upstreams" && h.Credentials.UpstreamSecret == "") ||
			(l.name == "listen.hosts" && h.Credentials.HostSecret == "" && !h.TLS.IsSet()) ||
			(l.name == "listen.operators" && len(h.Credentials.Operators) == 0) ||
			l.name == "listen.metrics"
		if open && l.addr.IsValid() && !l.addr.Addr().IsLoopback() {
			return l.name, "is not on loopback and has no credentials"
		}
	}
	return "", ""
}

func checkCredentials(h *Host) (string, string) {
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
			return "credentials.operators", "want a name and the SHA-256 of a secret in hex for each"
		}
	}
	return "", ""
}

func checkRequests(h *Host) (string, string) {
	if h.Requests.MaxBodyBytes < 1024 || h.Requests.MaxBodyBytes > 1<<28 {
		return "requests.maxBodyBytes", "want 1 KiB to 256 MiB"
	}
	if h.Requests.Timeout.Duration < time.Second {
		return "requests.timeout", "want one second at least"
	}
	if h.Requests.ReadTimeout.Duration < 100*time.Millisecond {
		return "requests.readTimeout", "want 100ms at least"
	}
	return "", ""
}
