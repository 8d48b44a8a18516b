package console

import (
	"io"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// addrPort is a command-line flag for an IP address and port.
type addrPort struct{ netip.AddrPort }

// UnmarshalFlag implements flags.Unmarshaler for values such as 127.0.0.1:7000.
func (a *addrPort) UnmarshalFlag(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	a.AddrPort = parsed
	return errors.Wrap(err, "must be an IP address and a port")
}

// command is a subcommand with its description and its go-flags options.
type command struct {
	name        string
	description string
	options     any
}

func commands() []command {
	return []command{
		{"host", "Run a host", &hostCommand{}},
		{"ctl", "Manage the system as an operator", &ctlCommand{}},
		{"engine", "Run a stand-in model engine", &engineCommand{}},
		{"service", "Run a stand-in plain service", &serviceCommand{}},

		{"load", "Generate load for running hosts and measure", &loadCommand{}},
		{"replay", "Replay a trace through the decision core and a naive baseline", &replayCommand{}},
		{"demo", "Demonstrate the system on loopback", &demoCommand{}},
	}
}

// Main parses the command line, runs the command and returns the exit code: 0, 1, or 2 for invalid settings.
func Main(args []string) int {
	p := flags.NewNamedParser("oleanderlever", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := p.AddCommand(c.name, c.description, "", c.options); err != nil {
			return exitCode(os.Stderr, err)
		}
	}
	_, err := p.ParseArgs(args)
	return exitCode(os.Stderr, err)
}

// exitInvalidSettings is the exit code for missing or invalid settings.
const exitInvalidSettings = 2

// errInvalidSettings marks errors of the settings file.
var errInvalidSettings = errors.New("settings")

// exitCode reports an error to the user and returns the exit code for it.
func exitCode(w io.Writer, err error) int {
	if err == nil {
		return 0
	}
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, _ = io.WriteString(os.Stdout, help.Message+"\n")
		return 0
	}
	_, _ = io.WriteString(w, "oleanderlever: "+err.Error()+"\n")
	if errors.Is(err, errInvalidSettings) {
		return exitInvalidSettings
	}
	return 1
}

func toAddrPorts(list []addrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range list {
		out = append(out, a.AddrPort)
	}
	return out
}
