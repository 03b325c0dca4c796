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

// siteStartTimeout bounds opening the listeners of a site.
const siteStartTimeout = 10 * time.Second

// seedsRefresh is how often the settings file is read again for seeds, since it may change without a signal.
const seedsRefresh = 5 * time.Second

// Memory is dearer than processor time on such deployments, and a VM that exceeds its memory is killed.
const (
	// gcPercent makes the heap grow by that part of what is live before it is collected.
	gcPercent = 40
	// memoryShare is the part of the VM's memory that the runtime tries to stay under.
	memoryShare = 0.7
)

// runSite runs the daemon on a deployment that the platform's settings file describes.
func runSite(path string, signals <-chan os.Signal, stderr io.Writer) int {
	s, err := platform.ReadSettings(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "teaselbankd:", err)
		return exitBadSettings
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	daemon := &settings.Settings{VMID: string(s.VMID), Zone: string(s.Zone), CallerListen: s.CallerListen,
		PeerListen: s.PeerListen, OpsListen: s.ReadinessListen, LogLevel: "info", StartTimeout: siteStartTimeout,
		DrainTimeout: s.StopBound}
	seeds := &seedList{path: path, seeds: s.Seeds, read: time.Now()}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go seeds.follow(hup)
	var state *lifecycle.State
	app := kernel.NewSite(daemon,
		fx.Supply(s, siteapi.ReadyPath(platform.ReadyPath)),
		fx.Provide(func() feed.Source { return platform.NewStore(s.Source) }),
		fx.Provide(func() forward.Protocol { return platform.Wire{} }),
		fx.Provide(func() leafconn.Dialer { return platform.NewDialer() }),
		fx.Provide(func() topology.Decoder { return platform.Decode }),
		fx.Provide(func() membership.Seeds { return seeds.current }),
		fx.Populate(&state))
	if err := serve(app, &state, signals); err != nil {
		_, _ = fmt.Fprintln(stderr, "teaselbankd:", err)
		return exitFailure
	}
	return 0
}

// seedList keeps the seeds of the settings file up to date.
type seedList struct {
	path string

	mu    sync.Mutex
	seeds []string
	read  time.Time
}

func (l *seedList) current() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.read) >= seedsRefresh {
		l.reload()
	}
	return l.seeds
}

// reload keeps the seeds known if the file can't be read; the file is read again later.
func (l *seedList) reload() {
	l.read = time.Now()
	if s, err := platform.ReadSettings(l.path); err == nil {
		l.seeds = s.Seeds
	} else {
		fmt.Printf("level=warn msg=settings_unreadable err=%q\n", err)
	}
}

func (l *seedList) follow(hup <-chan os.Signal) {
	for range hup {
		l.mu.Lock()
		l.reload()
		fmt.Printf("level=info msg=settings_reloaded seeds=%d\n", len(l.seeds))
		l.mu.Unlock()
	}
}
