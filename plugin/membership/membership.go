// Package membership is the plug-in that keeps this VM's view of the live VMs.
package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/platformclient"
	"teaselbank.example/teaselbank/settings"
)

// listInterval is how often the platform's list of VMs is read.
const listInterval = 2 * time.Second

func init() {
	kernel.Register(kernel.Plugin{Name: "membership", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newTable),
			fx.Provide(func(t *Table) membership.Viewer { return t }),
			fx.Invoke(follow),
		)
	}})
}

// Table holds the view and tells listeners of changes.
type Table struct {
	self  membership.Member
	clock clockwork.Clock
	view  atomic.Pointer[membership.View]

	mu        sync.Mutex
	listeners []func(*membership.View)
}

func newTable(s *settings.Settings, clock clockwork.Clock) *Table {
	self := membership.Member{ID: ident.VMID(s.VMID), Zone: ident.Zone(s.Zone), Address: s.PeerListen,
		Incarnation: ident.NewIncarnation(clock.Now()), State: membership.Alive}
	t := &Table{self: self, clock: clock}
	t.view.Store(membership.NewView(self, nil, 1, clock.Now()))
	return t
}

// View returns the current view without taking a lock.
func (t *Table) View() *membership.View { return t.view.Load() }

// OnChange registers a function that is called with each new view.
func (t *Table) OnChange(f func(*membership.View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, f)
	f(t.view.Load())
}

func (t *Table) apply(vms []platformclient.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]membership.Member, 0, len(vms))
	for _, vm := range vms {
		state := membership.Alive
		if vm.Leaving {
			state = membership.Leaving
		}
		if ident.VMID(vm.ID) != t.self.ID {
			members = append(members, membership.Member{ID: ident.VMID(vm.ID), Zone: ident.Zone(vm.Zone), Address: vm.PeerAddress, State: state})
		}
	}
	old := t.view.Load()
	next := membership.NewView(t.self, members, old.Generation+1, t.clock.Now())
	if sameMembers(old, next) {
		return
	}
	t.view.Store(next)
	for _, f := range t.listeners {
		f(next)
	}
}

func sameMembers(a, b *membership.View) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i] != b.Members[i] {
			return false
		}
	}
	return true
}

func follow(lc fx.Lifecycle, t *Table, platform *platformclient.Client, logger *log.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	var reader sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			reader.Go(func() { readList(ctx, t, platform, logger.With("component", "membership")) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			reader.Wait()
			return nil
		},
	})
}

func readList(ctx context.Context, t *Table, platform *platformclient.Client, logger *log.Logger) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		vms, err := platform.VMs(ctx)
		if err != nil && ctx.Err() == nil {
			logger.Warn("vm_list_read_failed", "err", err)
		}
		if err == nil {
			t.apply(vms)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
