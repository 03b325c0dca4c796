package membership

import "time"

// refreshState is the progress of the refresh of a stale view; next is zero when the view is not stale.
type refreshState struct{ next, until time.Time }

// View returns the current view without taking a lock. It compares the clock with the last beat, because a process
// that wakes from a pause may reach this point before the next Tick runs.
func (n *Node) View() *View {
	v := n.published.Load()
	if n.stale.Load() {
		return v.stale
	}
	if n.pausedAt(n.clock.Now()) {
		n.stale.Store(true)
		return v.stale
	}
	return v.fresh
}

func (n *Node) pausedAt(now time.Time) bool {
	return now.Sub(n.started)-time.Duration(n.lastBeat.Load()) > beatInterval+pauseLimit
}

func (n *Node) beat(now time.Time) { n.lastBeat.Store(int64(now.Sub(n.started))) }

// observePause notices that the process did not run. Calls that were under way are not held against the peers, and
// suspicions start again, because refutations may have come while the process was paused.
func (n *Node) observePause(now time.Time) {
	paused := n.pausedAt(now)
	if paused {
		n.counters.pauses.Add(1)
		length := now.Sub(n.started) - time.Duration(n.lastBeat.Load())
		for _, f := range n.pauseListeners {
			f(length)
		}
		n.stale.Store(true)
		n.beat(now)
		n.epoch++
		for id := range n.suspects {
			n.suspects[id].until = now.Add(heardSuspicionTime)
		}
	}
	if paused || (n.stale.Load() && n.refresh.next.IsZero()) {
		n.refresh = refreshState{next: now, until: now.Add(staleLimit)}
	}
}

// refreshDue asks peers for their members until one has answered.
func (n *Node) refreshDue(now time.Time) {
	if n.refresh.next.IsZero() || now.Before(n.refresh.next) {
		return
	}
	peers := n.pick(refreshPeers, func(r *record) bool { return r.Usable() })
	if len(peers) == 0 || !now.Before(n.refresh.until) {
		n.counters.unrefreshed.Add(1)
		n.refreshed()
		return
	}
	n.refresh.next = now.Add(refreshInterval)
	for _, r := range peers {
		n.sync(r)
	}
}

func (n *Node) refreshed() {
	n.refresh = refreshState{}
	n.stale.Store(false)
}

// ReplacedAfter is how long a process must be paused before its peers may have declared it dead.
const ReplacedAfter = suspicionTime

// OnPause registers a function that is called with the length of each pause, while the view is stale and before it can
// be refreshed. It must be registered before the first Tick and must not call the node.
func (n *Node) OnPause(f func(length time.Duration)) { n.pauseListeners = append(n.pauseListeners, f) }
