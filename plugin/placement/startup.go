package placement

import (
	"sync/atomic"

	"teaselbank.example/teaselbank/gate"
	"teaselbank.example/teaselbank/lifecycle"
)

// startup keeps a process not ready until its first targets are taken over: until then searches that need them would
// be refused. It is a latch, because later changes of owner must not turn readiness off across the fleet.
type startup struct {
	gates *gate.Set
	done  atomic.Bool
}

func newStartup(gates *gate.Set) lifecycle.ReadyCheck { return &startup{gates: gates} }

// Ready implements lifecycle.ReadyCheck.
func (s *startup) Ready() bool {
	if !s.done.Load() && s.gates.Settled() {
		s.done.Store(true)
	}
	return s.done.Load()
}
