package membership

import "time"

// Timing and bounds of the failure detector.
const (
	probeInterval = time.Second
	// directTimeout and indirectTimeout together stay below probeInterval, so that a probe ends within its round.
	directTimeout   = 300 * time.Millisecond
	indirectTimeout = 600 * time.Millisecond
	// helperTimeout is shorter than indirectTimeout, so that a helper's answer is back in time.
	helperTimeout = 400 * time.Millisecond
	helpers       = 2
	suspicionTime = 2 * time.Second
	// heardSuspicionTime holds where a suspicion was only heard of: the VM that began it is in touch with the suspect
	// and declares it dead first, and a refutation has more time to come through under loss.
	heardSuspicionTime = suspicionTime + time.Second
	// tellInterval is how often the VM that began a suspicion tells the suspect of it, so that it can refute.
	tellInterval = 400 * time.Millisecond
	// suspectTellers is how many of the VMs that hear of a suspicion tell the suspect, over the whole fleet.
	suspectTellers = 8

	pushFanout = 4
	// pushDelay gathers the changes of one moment into one push.
	pushDelay = 20 * time.Millisecond
	// pushBurst and pushRefill bound pushed messages when many members change at once; probes carry the rest.
	pushBurst  = 64.0
	pushRefill = 8.0 // messages per second

	// maxUpdates and maxUpdateBytes bound the updates of one message, except an answer with all members.
	maxUpdates     = 24
	maxUpdateBytes = 2048
	// updateOverheadBytes is what the encoding of one update adds to its strings.
	updateOverheadBytes = 32
	// gossipFactor times the binary logarithm of the fleet is how often an update is piggybacked. At 1, a push that
	// missed a VM was not repaired within 3 s, and refutations came too late under loss.
	gossipFactor = 3

	// deadProbeInterval and deadProbeShare bound probes to dead members: at every interval about deadProbeShare
	// VMs of the whole fleet probe each of them, and no VM probes more than one.
	deadProbeInterval = 10 * time.Second
	deadProbeShare    = 5

	// reportInterval bounds the probes that failures on the data path cause for one member.
	reportInterval = time.Second

	// beatInterval is how often the process notes that it runs; pauseLimit is the delay of a beat that counts as a
	// pause.
	beatInterval = 250 * time.Millisecond
	pauseLimit   = time.Second
	// refreshInterval and refreshPeers pace the refresh of a stale view; after staleLimit without any reachable
	// peer the VM is cut off like a zone in a partition, and goes on with what it has.
	refreshInterval = 500 * time.Millisecond
	refreshPeers    = 3
	staleLimit      = 3 * time.Second

	// ownLeaveDelay is how long a leaving VM still counts itself as usable: until peers know of the leave, they relay
	// work for the targets it owns. It is shorter than the takeover delay of the next owner.
	ownLeaveDelay = time.Second
	// leaveFanout is how many peers are told of a leave directly.
	leaveFanout = 8
	// joinWindow is how long after its start a process still takes a newer incarnation of its id for an earlier
	// process whose clock was ahead. Later, the other process has replaced this one.
	joinWindow = 10 * time.Second

	// deadRetention is how long a dead member that the platform's list does not name is remembered; it exceeds the
	// longest partition between regions, and the hour by which the list may be stale.
	deadRetention  = 2 * time.Hour
	forgetInterval = time.Minute
)
