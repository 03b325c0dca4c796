package leafconn

import "sync/atomic"

// Closed is why a connection was closed.
type Closed int

// Reasons for the end of connections.
const (
	// ClosedIdle connections were not used for long.
	ClosedIdle Closed = iota
	// ClosedSpare connections were above the limit, or their target is no longer in use.
	ClosedSpare
	// ClosedByTarget connections ended while they were idle.
	ClosedByTarget
	// ClosedBroken connections ended before a whole answer, or were cut because it did not come.
	ClosedBroken
	// ClosedAfterReply connections could not be used again after an answer.
	ClosedAfterReply
	closedReasons
)

// String names the reason in metrics and logs.
func (c Closed) String() string {
	return [...]string{"idle", "spare", "by_target", "broken", "after_reply"}[c]
}

// ClosedReasons returns all reasons.
func ClosedReasons() []Closed {
	all := make([]Closed, closedReasons)
	for i := range all {
		all[i] = Closed(i)
	}
	return all
}

// Stats counts the connections of all pools of a VM.
type Stats struct {
	opened atomic.Uint64
	closed [closedReasons]atomic.Uint64
}

// Opened returns how many connections were opened.
func (s *Stats) Opened() uint64 { return s.opened.Load() }

// Closed returns how many connections ended for a reason.
func (s *Stats) Closed(why Closed) uint64 { return s.closed[why].Load() }
