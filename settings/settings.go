// Package settings reads and validates the daemon's flags and environment variables. They configure only the process
// itself; how searches are served is configured in the signed bundle.
package settings

import (
	"errors"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"teaselbank.example/teaselbank/bundle"
)

// Settings are the validated settings of the daemon.
type Settings struct {
	VMID          string
	Zone          string
	CallerListen  string
	PeerListen    string
	OpsListen     string
	PlatformURL   string
	RootKeyring   string
	LogLevel      string
	BalancerDelay time.Duration
	DrainTimeout  time.Duration
	StartTimeout  time.Duration
	PeerGrace     time.Duration
	Version       bool

	// Root is the parsed root keyring.
	Root bundle.Keyring
}

// raw holds the settings as given. Every value is a string, because the flags library stops at the first value that it
// cannot convert, whereas Parse reports all invalid settings together.
type raw struct {
	VMID          string `long:"vm-id" env:"TEASELBANK_VM_ID" description:"name of this VM, unique in the fleet"`
	Zone          string `long:"zone" env:"TEASELBANK_ZONE" description:"availability zone of this VM"`
	CallerListen  string `long:"caller-listen" env:"TEASELBANK_CALLER_LISTEN" description:"IP address and port for callers" default:"127.0.0.1:8080"`
	PeerListen    string `long:"peer-listen" env:"TEASELBANK_PEER_LISTEN" description:"IP address and port for other VMs; it is also advertised to them" default:"127.0.0.1:8081"`
	OpsListen     string `long:"ops-listen" env:"TEASELBANK_OPS_LISTEN" description:"IP address and port for health, metrics and status" default:"127.0.0.1:8082"`
	PlatformURL   string `long:"platform-url" env:"TEASELBANK_PLATFORM_URL" description:"base URL of the platform's configuration service"`
	RootKeyring   string `long:"root-keyring" env:"TEASELBANK_ROOT_KEYRING" description:"root keyring as JSON, or @FILE"`
	LogLevel      string `long:"log-level" env:"TEASELBANK_LOG_LEVEL" description:"debug, info, warn or error" default:"info"`
	BalancerDelay string `long:"balancer-delay" env:"TEASELBANK_BALANCER_DELAY" description:"time the balancer needs to notice that this VM is not ready" default:"2s"`
	DrainTimeout  string `long:"drain-timeout" env:"TEASELBANK_DRAIN_TIMEOUT" description:"bound on a graceful stop after the balancer delay" default:"20s"`
	StartTimeout  string `long:"start-timeout" env:"TEASELBANK_START_TIMEOUT" description:"bound on opening listeners" default:"10s"`
	PeerGrace     string `long:"peer-grace" env:"TEASELBANK_PEER_GRACE" description:"how long a starting VM looks for peers before it serves the platform's bundle unconfirmed" default:"10s"`
	Version       bool   `long:"version" description:"print the version and exit"`
}

// Parse reads and validates the arguments and environment variables. It reports all invalid settings in one
// *FaultsError. With --help it returns a *flags.Error of type ErrHelp. With --version, if all flags are known and have a
// value, it returns Settings with only Version set.
func Parse(args []string) (*Settings, error) {
	given := &raw{}
	c := &checker{}
	parser := flags.NewParser(given, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "teaselbankd"
	parser.UnknownOptionHandler = func(option string, _ flags.SplitArgument, rest []string) ([]string, error) {
		c.check(false, option, "", "a flag listed by --help")
		return rest, nil
	}
	rest, err := parser.ParseArgs(c.dropMissingValues(parser, args))
	var help *flags.Error
	switch {
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		return nil, err
	case err != nil:
		c.check(false, "", strings.Join(args, " "), "flags that can be parsed: "+err.Error())
	case given.Version && len(c.faults) == 0:
		return &Settings{Version: true}, nil
	}
	s := c.settings(given, rest)
	if len(c.faults) > 0 {
		return nil, &FaultsError{Faults: c.faults}
	}
	return s, nil
}

// dropMissingValues returns args without the flags whose value is missing, so that the other flags can still be parsed.
// It records a fault for each flag it drops.
func (c *checker) dropMissingValues(parser *flags.Parser, args []string) []string {
	var kept []string
	for i := 0; i < len(args); i++ {
		if args[i] == "--" {
			return append(kept, args[i:]...)
		}
		name, isFlag := strings.CutPrefix(args[i], "--")
		option := parser.FindOptionByLongName(name)
		if !isFlag || option == nil || name == "version" || name == "help" {
			kept = append(kept, args[i])
			continue
		}
		if i+1 == len(args) || strings.HasPrefix(args[i+1], "-") {
			c.check(false, name, "", "a value after the flag")
			continue
		}
		kept = append(kept, args[i], args[i+1])
		i++
	}
	return kept
}
