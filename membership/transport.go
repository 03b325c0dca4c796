package membership

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

// ProbeRequest checks that a peer runs, and carries updates to it.
type ProbeRequest struct {
	From    Member
	Updates []Member
	// ConfigVersion and ConfigDigest are what ConfigGossip.Version returned at the sender.
	ConfigVersion uint64
	ConfigDigest  []byte
	// ExpectedIncarnation is the token of the peer's incarnation. If it is empty, the peer replies with all members.
	ExpectedIncarnation string
}

// ProbeReply is the reply to a probe; ConfigVersion and ConfigDigest are those of the replying peer.
type ProbeReply struct {
	Self          Member
	Updates       []Member
	ConfigVersion uint64
	ConfigDigest  []byte
}

// IndirectReply is a helper's reply to an indirect probe. Target is the probed member as it described itself in its
// reply to the helper, if there was one.
type IndirectReply struct {
	Reachable bool
	Target    Member
}

// Transport makes calls to peers. Its methods do not block. Each calls done exactly once, never from within the
// method itself, and with an error if no reply arrives within the timeout.
type Transport interface {
	Probe(to Member, req ProbeRequest, timeout time.Duration, done func(ProbeReply, error))
	IndirectProbe(via, from, target Member, timeout time.Duration, done func(IndirectReply, error))
	Leave(to, self Member, timeout time.Duration, done func(error))
}

// ConfigGossip lets probes and their replies carry the version of the configuration that each VM has in force, so that
// a VM with an older version can fetch the newer one. An implementation defines what the version and the digest mean.
type ConfigGossip interface {
	// Version returns the version and digest of this VM's configuration; the version is 0 if it has none.
	Version() (uint64, []byte)
	// ObservePeerVersion is called with the version and digest of a peer's configuration. It must not block.
	ObservePeerVersion(m Member, version uint64, digest []byte)
}

// FailureReporter receives failures that the data path has seen.
type FailureReporter interface {
	// ReportFailure reports that a call to the VM failed without a reply.
	ReportFailure(id ident.VMID)
}

// ListedVM is one entry of the platform's list of VMs.
type ListedVM struct {
	ID      ident.VMID
	Zone    ident.Zone
	Address string
	Leaving bool
}
