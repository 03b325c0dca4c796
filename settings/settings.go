// Package settings reads the daemon's flags and environment and checks them as a whole. Settings hold only what a
// process must know of itself; how searches are served stands in the signed bundle.
package settings

import (
	"time"

	"github.com/jessevdk/go-flags"

	"teaselbank.example/teaselbank/bundle"
)

// Settings are the daemon's flags and environment variables.
type Settings struct {
	VMID          string        `long:"vm-id" env:"TEASELBANK_VM_ID" description:"name of this VM, unique in the fleet" required:"false"`
	Zone          string        `long:"zone" env:"TEASELBANK_ZONE" description:"availability zone of this VM"`
	CallerListen  string        `long:"caller-listen" env:"TEASELBANK_CALLER_LISTEN" description:"IP address and port for callers" default:"127.0.0.1:8080"`
	PeerListen    string        `long:"peer-listen" env:"TEASELBANK_PEER_LISTEN" description:"IP address and port for other VMs; it is also advertised to them" default:"127.0.0.1:8081"`
	OpsListen     string        `long:"ops-listen" env:"TEASELBANK_OPS_LISTEN" description:"IP address and port for health, metrics and status" default:"127.0.0.1:8082"`
	PlatformURL   string        `long:"platform-url" env:"TEASELBANK_PLATFORM_URL" description:"base URL of the platform's configuration service"`
	RootKeyring   string        `long:"root-keyring" env:"TEASELBANK_ROOT_KEYRING" description:"root keyring as JSON, or @FILE"`
	LogLevel      string        `long:"log-level" env:"TEASELBANK_LOG_LEVEL" description:"debug, info, warn or error" default:"info"`
	BalancerDelay time.Duration `long:"balancer-delay" env:"TEASELBANK_BALANCER_DELAY" description:"time the balancer needs to notice that this VM is not ready" default:"2s"`
	DrainTimeout  time.Duration `long:"drain-timeout" env:"TEASELBANK_DRAIN_TIMEOUT" description:"bound on finishing accepted requests at a stop" default:"20s"`
	StartTimeout  time.Duration `long:"start-timeout" env:"TEASELBANK_START_TIMEOUT" description:"bound on opening listeners" default:"10s"`
	PeerGrace     time.Duration `long:"peer-grace" env:"TEASELBANK_PEER_GRACE" description:"how long a starting VM looks for peers before it serves the platform's bundle unconfirmed" default:"10s"`
	Version       bool          `long:"version" description:"print the version and exit"`

	// Root is the parsed root keyring.
	Root bundle.Keyring `no-flag:"true"`
}

// Parse reads arguments and environment and checks the result. All faults are returned in one *FaultsError. With
// --help it returns a *flags.Error of type ErrHelp.
func Parse(args []string) (*Settings, error) {
	s := &Settings{}
	parser := flags.NewParser(s, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "teaselbankd"
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return nil, err
	}
	if s.Version {
		return s, nil
	}
	if faults := s.check(rest); len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	return s, nil
}
