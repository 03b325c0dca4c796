package dispatch

// maxRepeats is how many sends of one unit may go to a target whose connection broke under an earlier send of the unit
// or that failed one, once no further target may be used. A second repeat gains less than the extra send that it takes
// from another unit.
const maxRepeats = 1

// SendCounts counts the sends of one unit of a request. A unit is the request itself, or its part for one shard.
type SendCounts struct {
	// MayHaveRun is the number of sends that may have run, Targets the number of distinct targets they went to.
	MayHaveRun, Targets int
	// MaxTargets is how many targets may run the unit.
	MaxTargets int
}

// AllowsNewTarget reports whether the unit may be sent to one more target.
func (c SendCounts) AllowsNewTarget() bool { return c.Targets < c.MaxTargets }

// AllowsRepeat reports whether the unit may be sent again to a target whose connection broke or that failed. Repeats
// are needed when targets of many shards lose part of their replies at once: of 54 shards with two lossy targets out of
// three, several lose both replies in most searches, while a third send is as likely to succeed as the first.
func (c SendCounts) AllowsRepeat() bool { return c.MayHaveRun < c.MaxTargets+maxRepeats }
