package dispatch

import "time"

// dialBackoff is how long no connection is opened to a target that reset a new one. Targets close the connections of VMs
// that lost power as idle after about five seconds.
const dialBackoff = 5 * time.Second

// recentReply is how long a reply shows that the target accepts connections of this VM. A target that loses replies
// still sends most of them, while a target at its connection limit resets every new connection.
const recentReply = 2 * time.Second

// DialBackoff is the backoff for opening connections to one target that is at its connection limit. It is needed when a
// fleet restarts after all VMs lost power: the targets still hold the old connections open and reset new ones beyond
// their limit. Each reset costs a request one of its few targets and an extra send; a request that goes to a target
// below its limit instead loses neither. A target that loses replies breaks new connections too; on a busy VM the
// timing of the breaks does not distinguish the two cases, but replies in between do. DialBackoff is not safe for
// concurrent use.
type DialBackoff struct {
	backoffUntil time.Time
	lastReply    time.Time
}

// Active reports whether opening connections to the target should be avoided now. If no other target can take a
// request, a connection may be opened all the same.
func (b *DialBackoff) Active(now time.Time) bool { return now.Before(b.backoffUntil) }

// ConnectionBroke records that a connection broke before its first reply. It starts the backoff unless the target
// replied recently.
func (b *DialBackoff) ConnectionBroke(now time.Time) {
	if b.lastReply.IsZero() || now.Sub(b.lastReply) >= recentReply {
		b.backoffUntil = now.Add(dialBackoff)
	}
}

// Replied records a reply on any connection to the target.
func (b *DialBackoff) Replied(now time.Time) { b.lastReply = now }
