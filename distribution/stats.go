package distribution

import "sync/atomic"

// Stats holds the counters of a distributor. Byte counts cover encoded bundles only, without the message around them.
type Stats struct {
	PushesSent atomic.Uint64
	PushErrors atomic.Uint64
	// NeedWhole counts deltas, sent or fetched, that the receiver could not use.
	NeedWhole      atomic.Uint64
	FetchesSent    atomic.Uint64
	FetchErrors    atomic.Uint64
	WholeSent      atomic.Uint64
	WholeBytes     atomic.Uint64
	DeltaSent      atomic.Uint64
	DeltaBytes     atomic.Uint64
	PlatformReads  atomic.Uint64
	PlatformErrors atomic.Uint64
	Conflicts      atomic.Uint64
	Refused        atomic.Uint64
}

// Stats returns the counters.
func (d *Distributor) Stats() *Stats { return &d.stats }

// sent counts an encoded bundle of the given size. A message without a bundle, for which bytes is 0, is not counted.
func (s *Stats) sent(encoding string, bytes int) {
	switch {
	case bytes == 0:
	case encoding == EncodingDelta:
		s.DeltaSent.Add(1)
		s.DeltaBytes.Add(uint64(bytes))
	default:
		s.WholeSent.Add(1)
		s.WholeBytes.Add(uint64(bytes))
	}
}
