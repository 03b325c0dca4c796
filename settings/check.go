package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"teaselbank.example/teaselbank/bundle"
)

// Allowed ranges of durations; a bound that is not listed is 0.
const (
	maxBalancerDelay = time.Minute
	minDrainTimeout  = 100 * time.Millisecond
	maxDrainTimeout  = 10 * time.Minute
	minStartTimeout  = time.Second
	maxStartTimeout  = 5 * time.Minute
	maxPeerGrace     = 5 * time.Minute
)

// Fault is one invalid setting.
type Fault struct {
	// Flag is the flag's name without the leading dashes; it is empty if the fault is not in a single flag.
	Flag  string
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns the flag with its environment variable, the value and the allowed values.
func (f Fault) String() string {
	if f.Flag == "" {
		return fmt.Sprintf("arguments: %q is not allowed; allowed: %s", f.Value, f.Allowed)
	}
	return fmt.Sprintf("--%s (%s): %q is not allowed; allowed: %s", f.Flag, envName(f.Flag), f.Value, f.Allowed)
}

func envName(flag string) string {
	return "TEASELBANK_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// FaultsError holds all invalid settings found by Parse.
type FaultsError struct{ Faults []Fault }

// Error lists the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

const nameAllowed = "1 to 64 of a-z, 0-9, '.' and '-', with a letter or digit at both ends"

type checker struct{ faults []Fault }

func (c *checker) check(ok bool, flag, value, allowed string) {
	if !ok {
		c.faults = append(c.faults, Fault{flag, value, allowed})
	}
}

// settings converts the values as given and records a fault for each invalid one.
func (c *checker) settings(g *raw, rest []string) *Settings {
	s := &Settings{VMID: g.VMID, Zone: g.Zone, CallerListen: g.CallerListen, PeerListen: g.PeerListen,
		OpsListen: g.OpsListen, PlatformURL: g.PlatformURL, RootKeyring: g.RootKeyring, LogLevel: g.LogLevel}
	c.check(len(rest) == 0, "", strings.Join(rest, " "), "no arguments besides flags")
	c.check(namePattern.MatchString(s.VMID), "vm-id", s.VMID, nameAllowed)
	c.check(namePattern.MatchString(s.Zone), "zone", s.Zone, nameAllowed)
	c.addresses(s)
	c.platform(s.PlatformURL)
	c.keyring(s)
	levels := []string{"debug", "info", "warn", "error"}
	c.check(slices.Contains(levels, s.LogLevel), "log-level", s.LogLevel, strings.Join(levels, ", "))
	s.BalancerDelay = c.duration("balancer-delay", g.BalancerDelay, 0, maxBalancerDelay)
	s.DrainTimeout = c.duration("drain-timeout", g.DrainTimeout, minDrainTimeout, maxDrainTimeout)
	s.StartTimeout = c.duration("start-timeout", g.StartTimeout, minStartTimeout, maxStartTimeout)
	s.PeerGrace = c.duration("peer-grace", g.PeerGrace, 0, maxPeerGrace)
	return s
}

func (c *checker) addresses(s *Settings) {
	const allowed = "an IP address and a port from 1 to 65535, different from the other listeners"
	seen := map[string]bool{}
	for _, l := range []struct{ flag, value string }{
		{"caller-listen", s.CallerListen}, {"peer-listen", s.PeerListen}, {"ops-listen", s.OpsListen},
	} {
		a, err := netip.ParseAddrPort(l.value)
		c.check(err == nil && a.Port() != 0 && !seen[l.value], l.flag, l.value, allowed)
		seen[l.value] = true
	}
	if a, err := netip.ParseAddrPort(s.PeerListen); err == nil {
		c.check(!a.Addr().IsUnspecified(), "peer-listen", s.PeerListen, "an address that other VMs can reach")
	}
}

func (c *checker) platform(value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.check(ok, "platform-url", value, "an http or https URL with a host")
}

func (c *checker) keyring(s *Settings) {
	raw := []byte(s.RootKeyring)
	if path, isFile := strings.CutPrefix(s.RootKeyring, "@"); isFile {
		data, err := os.ReadFile(path)
		if err != nil {
			c.check(false, "root-keyring", s.RootKeyring, "a readable file: "+err.Error())
			return
		}
		raw = data
	}
	root, err := bundle.DecodeKeyring(raw)
	if err != nil {
		c.check(false, "root-keyring", s.RootKeyring, "a keyring as JSON, or @FILE: "+err.Error())
		return
	}
	s.Root = root
}

func (c *checker) duration(flag, value string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(value)
	c.check(err == nil && d >= low && d <= high, flag, value, fmt.Sprintf("a duration such as 2s, from %s to %s", low, high))
	return d
}
