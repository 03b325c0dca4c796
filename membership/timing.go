package membership

import "time"

// Timing and limits of the failure detector.
const (
	probeInterval = time.Second
	// directTimeout and indirectTimeout together are below probeInterval, so that a probe ends before the next one
	// starts.
	directTimeout   = 300 * time.Millisecond
	indirectTimeout = 600 * time.Millisecond
	// helperTimeout is the timeout of the probe that a helper sends for another VM. It is shorter than indirectTimeout,
	// so that the helper's reply arrives in time.
	helperTimeout = 400 * time.Millisecond
	// indirectProbeFanout is how many helpers probe a member that a direct probe did not reach.
	indirectProbeFanout = 2
	// suspicionTimeout is when the VM that began a suspicion declares the member dead.
	suspicionTimeout = 2 * time.Second
	// remoteSuspicionTimeout applies to a suspicion that another VM began. It is longer, because the VM that began it
	// notifies the suspect itself and declares it dead first, and because a refutation needs more time under message
	// loss.
	remoteSuspicionTimeout = suspicionTimeout + time.Second
	// suspectNotifyInterval is how often the VM that began a suspicion notifies the suspect, so that it can refute.
	suspectNotifyInterval = 400 * time.Millisecond
	// suspectNotifiers is how many VMs of the whole fleet, on average, notify the suspect when they receive the
	// suspicion.
	suspectNotifiers = 8

	pushFanout = 4
	// pushDelay combines changes in quick succession into one push.
	pushDelay = 20 * time.Millisecond
	// pushBurst and pushRefill limit pushed messages when many members change at once; probes carry the rest.
	pushBurst  = 64.0
	pushRefill = 8.0 // messages per second

	// maxUpdates and maxUpdateBytes limit the updates in one message, except in a reply with all members.
	maxUpdates     = 24
	maxUpdateBytes = 2048
	// updateOverheadBytes is the encoded size of one update without its strings.
	updateOverheadBytes = 32
	// gossipFactor times the binary logarithm of the number of VMs is how often an update is piggybacked. With 1, a VM
	// that a push missed did not learn of the change within 3 s, and refutations came too late under message loss.
	gossipFactor = 3

	// deadProbeInterval and deadProbeShare limit probes to dead members: in each interval about deadProbeShare VMs of
	// the whole fleet probe each dead member, and no VM probes more than one of them.
	deadProbeInterval = 10 * time.Second
	deadProbeShare    = 5

	// reportInterval is the shortest time between probes of one member that failures on the data path cause.
	reportInterval = time.Second

	// tickInterval is the longest time between ticks. A tick that is late by more than pauseThreshold means that the
	// process was paused.
	tickInterval   = 250 * time.Millisecond
	pauseThreshold = time.Second
	// While a view is stale, all members are requested from refreshPeers peers every refreshInterval. If none has
	// replied after staleLimit, the VM is as isolated as a zone in a partition, and uses the view that it has.
	refreshInterval = 500 * time.Millisecond
	refreshPeers    = 3
	staleLimit      = 3 * time.Second

	// leaveGrace is how long a leaving VM still lists itself as usable, because peers that the announcement has not
	// reached yet relay work for the targets it owns. It is shorter than the takeover delay of the next owner.
	leaveGrace = time.Second
	// leaveFanout is how many peers a leaving VM notifies directly.
	leaveFanout = 8
	// joinWindow is how long after its start a process treats a newer incarnation of its ID as an earlier process whose
	// clock was ahead. After that, a newer incarnation is a process that has replaced this one.
	joinWindow = 10 * time.Second

	// deadRetention is how long a dead member that the platform's list does not name is kept. It exceeds the longest
	// partition between regions, and the hour by which the list may be out of date.
	deadRetention = 2 * time.Hour
	// evictInterval is how often dead members are checked against deadRetention.
	evictInterval = time.Minute
)
