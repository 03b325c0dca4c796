package leafconn

import "sync/atomic"

// CloseReason is the reason why a connection was closed.
type CloseReason int

// Reasons why connections are closed.
const (
	// ClosedIdle means that the connection reached its idle limit.
	ClosedIdle CloseReason = iota
	// ClosedSpare means that the pool was above its connection limit, or was closed because its target is no longer in
	// use.
	ClosedSpare
	// ClosedByTarget means that the connection ended, or delivered data without a request, while it was idle.
	ClosedByTarget
	// ClosedBroken means that the connection failed before the whole reply was read, or was closed because no reply
	// arrived in time for an abandoned send.
	ClosedBroken
	// ClosedAfterReply means that the connection was not reusable after a reply.
	ClosedAfterReply
	// ClosedForResend means that the connection had carried the requests of all waiting sends, which need a connection
	// that has not, and that the limit left no room for one.
	ClosedForResend
	numCloseReasons
)

// String returns the name of the reason as used in metrics and logs.
func (c CloseReason) String() string {
	return [...]string{"idle", "spare", "by_target", "broken", "after_reply", "for_resend"}[c]
}

// CloseReasons returns all reasons.
func CloseReasons() []CloseReason {
	all := make([]CloseReason, numCloseReasons)
	for i := range all {
		all[i] = CloseReason(i)
	}
	return all
}

// Stats counts the connections that the pools of a VM have opened and closed. It is safe for concurrent use.
type Stats struct {
	opened atomic.Uint64
	closed [numCloseReasons]atomic.Uint64
}

// Opened returns how many connections the pools have opened.
func (s *Stats) Opened() uint64 { return s.opened.Load() }

// Closed returns how many connections were closed for the reason.
func (s *Stats) Closed(reason CloseReason) uint64 { return s.closed[reason].Load() }
