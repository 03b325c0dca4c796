package placement

import (
	"sync/atomic"

	"teaselbank.example/teaselbank/gate"
	"teaselbank.example/teaselbank/lifecycle"
)

// startupCheck keeps the process not ready until it has taken over its first targets, because leaf requests to these
// targets would be refused until then. Once the check is ready, it stays ready: later changes of owners must not make
// VMs across the fleet not ready.
type startupCheck struct {
	gates *gate.Set
	done  atomic.Bool
}

func newStartupCheck(gates *gate.Set) lifecycle.ReadyCheck { return &startupCheck{gates: gates} }

// Ready implements lifecycle.ReadyCheck.
func (s *startupCheck) Ready() bool {
	if !s.done.Load() && s.gates.Settled() {
		s.done.Store(true)
	}
	return s.done.Load()
}
