package crashguard

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
)

// Limits of the calls to peers.
const (
	callTimeout = 800 * time.Millisecond
	// reportRate bounds the crash reports of a VM, and refusalRate the refused fingerprints that it sends to all VMs as
	// their home VM, both per second: when many targets fail at once, many requests that did not cause the failures end
	// without a reply.
	reportRate, reportBurst   = 20, 40
	refusalRate, refusalBurst = 2, 10
	// maxMessageBytes is enough for a full table of refusals.
	maxMessageBytes = 2 << 20
)

// Coordinator reports crashes to the home VMs of their fingerprints and, as a home VM, distributes refusals to all VMs.
// The home VM of a fingerprint is the usable VM that ranks first for it by rendezvous hashing.
type Coordinator struct {
	table    *Table
	viewer   membership.Viewer
	http     *http.Client
	logger   *log.Logger
	reports  *rate.Limiter
	refusals *rate.Limiter
	// learned reports that Learn has ended.
	learned atomic.Bool
}

// New returns a Coordinator that records crashes and refusals in the table.
func New(table *Table, viewer membership.Viewer, client *http.Client, logger *log.Logger) *Coordinator {
	return &Coordinator{table: table, viewer: viewer, http: client, logger: logger, reports: rate.NewLimiter(reportRate, reportBurst),
		refusals: rate.NewLimiter(refusalRate, refusalBurst)}
}

// Refused reports whether a request must not be sent because it crashed several targets.
func (c *Coordinator) Refused(f Fingerprint) bool { return c.table.Refused(f, time.Now()) }

// Served records that a target replied to the request. It does not block.
func (c *Coordinator) Served(f Fingerprint) { c.table.Served(f, time.Now()) }

// Crashed reports targets that failed while they had the request in flight; no target replied to it. It does not block,
// because the report is sent in the background. Reports above reportRate are dropped and logged.
func (c *Coordinator) Crashed(f Fingerprint, targets []ident.TargetID) {
	if !c.reports.Allow() {
		c.logger.Warn("crash_report_dropped", "fingerprint", f, "targets", targets)
		return
	}
	view := c.viewer.View()
	ranked := placement.Rank("crash "+string(f), view.UsableIn(""))
	if len(ranked) == 0 || ranked[0].ID == view.Self.ID {
		c.recordCrashes(f, targets)
		return
	}
	go c.sendReport(ranked[0].Address, f, targets)
}

// sendReport reports crashes to the home VM at an address. If the call fails, the crashes are recorded in this VM's own
// table.
func (c *Coordinator) sendReport(home string, f Fingerprint, targets []ident.TargetID) {
	msg := &peerv1.CrashReport{Fingerprint: string(f)}
	for _, id := range targets {
		msg.TargetIds = append(msg.TargetIds, string(id))
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.client(home).Report(ctx, connect.NewRequest(msg))
	if err != nil {
		// The home VM may be gone; the crashes seen by this VM still count towards a refusal here.
		c.logger.Warn("crash_report", "home", home, "fingerprint", f, "err", err)
		c.recordCrashes(f, targets)
		return
	}
	c.table.Refuse(f, time.Duration(resp.Msg.GetRefusedMs())*time.Millisecond, time.Now())
}

// recordCrashes records crashes in this VM's table. If the fingerprint is refused from now on, the refusal is sent to
// all other usable VMs, unless refusalRate is exceeded.
func (c *Coordinator) recordCrashes(f Fingerprint, targets []ident.TargetID) {
	if !c.table.Crashed(f, targets, time.Now()) {
		return
	}
	c.logger.Warn("request_quarantined", "fingerprint", f, "last_targets", targets, "for", refuseFor)
	if !c.refusals.Allow() {
		return
	}
	view := c.viewer.View()
	for _, m := range view.UsableIn("") {
		if m.ID != view.Self.ID {
			go c.sendRefusal(m.Address, f)
		}
	}
}

// sendRefusal makes the VM at an address refuse the fingerprint too.
func (c *Coordinator) sendRefusal(address string, f Fingerprint) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	msg := &peerv1.QuarantineRequest{Fingerprints: []*peerv1.QuarantinedFingerprint{{Fingerprint: string(f), RemainingMs: refuseFor.Milliseconds()}}}
	if _, err := c.client(address).Refuse(ctx, connect.NewRequest(msg)); err != nil {
		c.logger.Warn("quarantine_tell", "peer", address, "fingerprint", f, "err", err)
	}
}

func (c *Coordinator) client(address string) peerv1connect.CrashServiceClient {
	return peerv1connect.NewCrashServiceClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// Server handles the calls of peers.
type Server struct{ Coordinator *Coordinator }

// Report records a peer's crash report; this VM is the home VM of its fingerprint.
func (s Server) Report(_ context.Context, req *connect.Request[peerv1.CrashReport]) (*connect.Response[peerv1.CrashReportResponse], error) {
	targets := make([]ident.TargetID, len(req.Msg.GetTargetIds()))
	for i, id := range req.Msg.GetTargetIds() {
		targets[i] = ident.TargetID(id)
	}
	f := Fingerprint(req.Msg.GetFingerprint())
	s.Coordinator.recordCrashes(f, targets)
	refused := s.Coordinator.table.Refusals(time.Now())[f]
	return connect.NewResponse(&peerv1.CrashReportResponse{RefusedMs: refused.Milliseconds()}), nil
}

// Refusals returns what this VM refuses.
func (s Server) Refusals(context.Context, *connect.Request[peerv1.RefusalsRequest]) (*connect.Response[peerv1.RefusalsResponse], error) {
	msg := &peerv1.RefusalsResponse{Learned: s.Coordinator.learned.Load()}
	for f, remaining := range s.Coordinator.table.Refusals(time.Now()) {
		msg.Fingerprints = append(msg.Fingerprints, &peerv1.QuarantinedFingerprint{Fingerprint: string(f), RemainingMs: remaining.Milliseconds()})
	}
	return connect.NewResponse(msg), nil
}

// Refuse applies refusals that a home VM distributes.
func (s Server) Refuse(_ context.Context, req *connect.Request[peerv1.QuarantineRequest]) (*connect.Response[peerv1.QuarantineResponse], error) {
	for _, f := range req.Msg.GetFingerprints() {
		s.Coordinator.table.Refuse(Fingerprint(f.GetFingerprint()), time.Duration(f.GetRemainingMs())*time.Millisecond, time.Now())
	}
	return connect.NewResponse(&peerv1.QuarantineResponse{}), nil
}
