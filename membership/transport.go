package membership

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

// ProbeRequest asks a peer whether it runs and carries updates to it.
type ProbeRequest struct {
	From    Member
	Updates []Member
	// ConfigVersion and ConfigDigest name the bundle in force at the sender.
	ConfigVersion uint64
	ConfigDigest  []byte
	// Expected is the token of the peer's incarnation; if it is empty the peer answers with every member it knows.
	Expected string
}

// ProbeReply is a peer's answer to a probe.
type ProbeReply struct {
	Self          Member
	Updates       []Member
	ConfigVersion uint64
	ConfigDigest  []byte
}

// IndirectReply says whether a helper reached the target of an indirect probe.
type IndirectReply struct {
	Reachable bool
	Target    Member
}

// Transport carries calls to peers. A method returns without blocking; done is called exactly once, later and never
// from within the method, with an error if no reply came within the timeout.
type Transport interface {
	Probe(to Member, req ProbeRequest, timeout time.Duration, done func(ProbeReply, error))
	IndirectProbe(via, from, target Member, timeout time.Duration, done func(IndirectReply, error))
	Leave(to, self Member, timeout time.Duration, done func(error))
}

// ConfigGossip joins the spreading of bundles to the probes.
type ConfigGossip interface {
	// Version returns the version and digest in force, or 0.
	Version() (uint64, []byte)
	// PeerHas tells which version and digest a peer has in force. It must not block.
	PeerHas(m Member, version uint64, digest []byte)
}

// FailureReporter takes failures that the data path saw.
type FailureReporter interface {
	// ReportFailure says that a call to the VM failed without a reply.
	ReportFailure(id ident.VMID)
}

// Listed is one entry of the platform's list of VMs.
type Listed struct {
	ID      ident.VMID
	Zone    ident.Zone
	Address string
	Leaving bool
}
