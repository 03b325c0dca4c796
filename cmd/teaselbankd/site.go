package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/fx"

	"teaselbank.example/teaselbank/feed"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/platform"
	"teaselbank.example/teaselbank/plugin/membership"
	"teaselbank.example/teaselbank/plugin/siteapi"
	"teaselbank.example/teaselbank/plugin/topology"
	"teaselbank.example/teaselbank/settings"
)

// siteStartTimeout limits the start of the daemon on a site, which includes opening its listeners.
const siteStartTimeout = 10 * time.Second

// seedsRefreshInterval is the age at which seeds are read again from the settings file, because the file may change
// without a SIGHUP.
const seedsRefreshInterval = 5 * time.Second

// Garbage collection on a site saves memory at the cost of processor time: memory is the more expensive of the two, and
// a VM that exceeds its memory limit is killed.
const (
	// gcPercent is the heap growth that triggers a garbage collection, in percent of the live heap.
	gcPercent = 40
	// memoryShare is the share of the VM's memory that is set as the runtime's soft memory limit.
	memoryShare = 0.7
)

// runSite runs the daemon on a site, a deployment that the platform's settings file at path describes, and returns the
// exit code.
func runSite(path string, signals <-chan os.Signal, stderr io.Writer) int {
	s, err := platform.ReadSettings(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "teaselbankd:", err)
		return exitBadSettings
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	daemonSettings := &settings.Settings{VMID: string(s.VMID), Zone: string(s.Zone), CallerListen: s.CallerListen,
		PeerListen: s.PeerListen, OpsListen: s.ReadinessListen, LogLevel: "info", StartTimeout: siteStartTimeout,
		DrainTimeout: s.StopBound}
	seeds := &seedList{path: path, seeds: s.Seeds, lastRead: time.Now()}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go seeds.reloadOnSignal(hup)
	var state *lifecycle.State
	app := kernel.NewSite(daemonSettings,
		fx.Supply(s, siteapi.ReadyPath(platform.ReadyPath)),
		fx.Provide(func() feed.Source { return platform.NewStore(s.Source) }),
		fx.Provide(func() forward.Protocol { return platform.Wire{} }),
		fx.Provide(func() leafconn.Dialer { return platform.NewDialer() }),
		fx.Provide(func() topology.Decoder { return platform.Decode }),
		fx.Provide(func() membership.Seeds { return seeds.current }),
		fx.Supply(membership.Capacity(s.Capacity)),
		fx.Populate(&state))
	if err := serve(app, &state, signals); err != nil {
		_, _ = fmt.Fprintln(stderr, "teaselbankd:", err)
		return exitFailure
	}
	return 0
}

// seedList holds the seeds, the peer addresses that the settings file lists, and reads them again when they may have
// changed.
type seedList struct {
	path string

	mu       sync.Mutex
	seeds    []string
	lastRead time.Time
}

// current returns the seeds. It reads them again first if they are older than seedsRefreshInterval.
func (l *seedList) current() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastRead) >= seedsRefreshInterval {
		l.reload()
	}
	return l.seeds
}

// reload reads the seeds from the settings file. If the file cannot be read, the present seeds stay until the next
// reload. The caller holds mu.
func (l *seedList) reload() {
	l.lastRead = time.Now()
	if s, err := platform.ReadSettings(l.path); err == nil {
		l.seeds = s.Seeds
	} else {
		fmt.Printf("level=warn msg=settings_unreadable err=%q\n", err)
	}
}

// reloadOnSignal reloads the seeds at each signal from hup.
func (l *seedList) reloadOnSignal(hup <-chan os.Signal) {
	for range hup {
		l.mu.Lock()
		l.reload()
		fmt.Printf("level=info msg=settings_reloaded seeds=%d\n", len(l.seeds))
		l.mu.Unlock()
	}
}
