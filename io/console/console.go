package console

import (
	"io"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// addrPort is an address on the command line.
type addrPort struct{ netip.AddrPort }

// UnmarshalFlag parses an address such as 127.0.0.1:7000.
func (a *addrPort) UnmarshalFlag(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	a.AddrPort = parsed
	return errors.Wrap(err, "want an IP number and a port")
}

// command is one entry of the command line.
type command struct {
	name  string
	short string
	data  any
}

func commands() []command {
	return []command{
		{"host", "Run a host", &hostCommand{}},
		{"ctl", "Drive the system as an operator", &ctlCommand{}},
		{"engine", "Run a stand-in model engine", &engineCommand{}},
		{"service", "Run a stand-in plain service", &serviceCommand{}},

		{"load", "Drive running hosts and measure", &loadCommand{}},
		{"replay", "Play a trace through the decision core, beside a naive baseline", &replayCommand{}},
		{"demo", "Show the whole path on loopback", &demoCommand{}},
	}
}

// Main parses the command line, runs the command and returns the exit code.
func Main(args []string) int {
	p := flags.NewNamedParser("oleanderlever", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			return report(os.Stderr, err)
		}
	}
	_, err := p.ParseArgs(args)
	return report(os.Stderr, err)
}

// exitSettings is the exit code for settings that are missing or wrong.
const exitSettings = 2

// errSettings marks errors of the settings file.
var errSettings = errors.New("settings")

func report(w io.Writer, err error) int {
	if err == nil {
		return 0
	}
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, _ = io.WriteString(os.Stdout, help.Message+"\n")
		return 0
	}
	_, _ = io.WriteString(w, "oleanderlever: "+err.Error()+"\n")
	if errors.Is(err, errSettings) {
		return exitSettings
	}
	return 1
}

func addrs(list []addrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range list {
		out = append(out, a.AddrPort)
	}
	return out
}
