package dispatch

import "time"

// isolatedAfter is how long nothing was heard from another zone, neither a VM nor a reply of a target, in a zone that is
// cut off. In touch, a VM hears of more than one VM of another zone a second, besides the replies.
const isolatedAfter = 1500 * time.Millisecond

// Isolated reports whether this VM is cut off from the other zones. heard is when something was last heard from one of
// them, the zero time if never.
func Isolated(now, heard time.Time) bool {
	return !heard.IsZero() && now.Sub(heard) >= isolatedAfter
}

// Ready decides whether a VM should get new connections. The load pattern that it answers is a zone that is cut off
// from the others and lacks targets of too many shards: its VMs still get their callers, while VMs of other zones would
// serve them. All VMs of the zone have to decide alike, because the balancer turns to other zones only if none of a
// zone's VMs is ready; so the decision rests on what they all see, the targets of their own zone, and not on the
// requests that each of them got. sufficient says that the zone's own targets can serve every route.
func Ready(isolated, sufficient bool) bool { return !isolated || sufficient }
