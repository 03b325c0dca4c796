package membership

import "time"

// refreshState holds when to request members from peers next, and until when to try, while a stale view is refreshed.
// Both are zero when no refresh runs.
type refreshState struct{ next, deadline time.Time }

// View returns the current view without taking a lock. It compares the clock with the last tick, because after a pause
// of the process a reader may get here before the next Tick runs.
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

// pausedAt reports whether so much time has passed since the last tick that the process must have been paused.
func (n *Node) pausedAt(now time.Time) bool {
	return now.Sub(n.started)-time.Duration(n.lastTick.Load()) > tickInterval+pauseThreshold
}

func (n *Node) recordTick(now time.Time) { n.lastTick.Store(int64(now.Sub(n.started))) }

// observePause detects that the process was paused and starts the refresh of the view. Calls that were in flight during
// the pause no longer count as failures of the peers, and the timeouts of suspicions start again, because refutations
// may have arrived during the pause.
func (n *Node) observePause(now time.Time) {
	paused := n.pausedAt(now)
	if paused {
		n.counters.pauses.Add(1)
		duration := now.Sub(n.started) - time.Duration(n.lastTick.Load())
		for _, f := range n.pauseListeners {
			f(duration)
		}
		n.stale.Store(true)
		n.recordTick(now)
		n.epoch++
		for id := range n.suspects {
			n.suspects[id].deadline = now.Add(remoteSuspicionTimeout)
		}
	}
	if paused || (n.stale.Load() && n.refresh.next.IsZero()) {
		n.refresh = refreshState{next: now, deadline: now.Add(staleLimit)}
	}
}

// refreshIfDue requests the members from a few peers every refreshInterval until one of them replies. Without usable
// peers, or after staleLimit, it gives up and the old view counts as current again.
func (n *Node) refreshIfDue(now time.Time) {
	if n.refresh.next.IsZero() || now.Before(n.refresh.next) {
		return
	}
	peers := n.pick(refreshPeers, func(r *record) bool { return r.Usable() })
	if len(peers) == 0 || !now.Before(n.refresh.deadline) {
		n.counters.unrefreshedViews.Add(1)
		n.endRefresh()
		return
	}
	n.refresh.next = now.Add(refreshInterval)
	for _, r := range peers {
		n.sync(r)
	}
}

// endRefresh makes the view count as current again.
func (n *Node) endRefresh() {
	n.refresh = refreshState{}
	n.stale.Store(false)
}

// DeadAfterPause is the shortest pause of a process after which peers may have declared it dead.
const DeadAfterPause = suspicionTimeout

// OnPause registers a function that is called with the length of each pause, while the view is stale and before it can
// be refreshed. It must be registered before the first Tick. The function may call View, but no method of the node that
// takes the lock.
func (n *Node) OnPause(f func(length time.Duration)) { n.pauseListeners = append(n.pauseListeners, f) }
