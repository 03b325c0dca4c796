package membership

import (
	"context"
	"errors"
	"fmt"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
	"teaselbank.example/teaselbank/observe"
)

// logChanges logs each new member, and each change of a member's state, of its incarnation, or of whether it is reached
// only through other VMs.
func logChanges(d *Detector, logger *log.Logger) {
	logger = logger.With("component", "membership")
	previous := map[ident.VMID]membership.Member{}
	d.OnChange(func(v *membership.View) {
		next := make(map[ident.VMID]membership.Member, len(v.Members))
		for _, m := range v.Members {
			next[m.ID] = m
			old, ok := previous[m.ID]
			if !ok || old.State != m.State || old.Incarnation.Token != m.Incarnation.Token || old.Indirect != m.Indirect {
				logger.Info("member", "peer", m.ID, "peer_zone", m.Zone, "state", m.State, "was", old.State,
					"incarnation", m.Incarnation, "sequence", m.Sequence, "indirect", m.Indirect)
			}
		}
		previous = next
	})
}

// register exposes the metrics; docs/operations/metrics.md lists them.
func register(d *Detector, traffic *wire.Traffic, meter metric.Meter) error {
	counter := func(name, description string, read func(membership.Stats) uint64) observe.Instrument {
		return observe.Instrument{Name: "membership_" + name, Description: description, Read: func() int64 { return int64(read(d.Stats())) }}
	}
	return errors.Join(
		observe.Counters(meter,
			counter("probes", "direct probes started", func(s membership.Stats) uint64 { return s.Probes }),
			counter("probe_failures", "direct probes without a reply", func(s membership.Stats) uint64 { return s.ProbeFailures }),
			counter("indirect_probes", "indirect probes asked for", func(s membership.Stats) uint64 { return s.IndirectProbes }),
			counter("dead_probes", "probes to members believed dead", func(s membership.Stats) uint64 { return s.DeadProbes }),
			counter("pushes", "pushed messages", func(s membership.Stats) uint64 { return s.Pushes }),
			counter("syncs", "requests for all members of a peer", func(s membership.Stats) uint64 { return s.Syncs }),
			counter("suspicions", "members that this VM began to suspect", func(s membership.Stats) uint64 { return s.Suspicions }),
			counter("refutations", "claims about this VM that it refuted", func(s membership.Stats) uint64 { return s.Refutations }),
			counter("reported_failures", "failures of the data path that caused a probe", func(s membership.Stats) uint64 { return s.Reports }),
			counter("pauses", "pauses of this process over 1 s", func(s membership.Stats) uint64 { return s.Pauses }),
			counter("unrefreshed_views", "stale views used again without an answer of a peer", func(s membership.Stats) uint64 { return s.UnrefreshedViews }),
		),
		registerTraffic(traffic, meter), registerView(d, meter))
}

func registerTraffic(traffic *wire.Traffic, meter metric.Meter) error {
	counter := func(name, description string, read func() uint64) observe.Instrument {
		return observe.Instrument{Name: "membership_" + name, Description: description, Read: observe.Uint64(read)}
	}
	return observe.Counters(meter,
		counter("sent_messages", "messages sent", traffic.SentMessages.Load),
		counter("received_messages", "messages received", traffic.ReceivedMessages.Load),
		counter("sent_bytes", "bytes sent, without HTTP framing", traffic.SentBytes.Load),
		counter("received_bytes", "bytes received, without HTTP framing", traffic.ReceivedBytes.Load),
	)
}

func registerView(d *Detector, meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge("membership_view_members", metric.WithDescription("members of the view by state"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			counts := map[membership.State]int64{}
			for _, m := range d.View().Members {
				counts[m.State]++
			}
			for _, s := range []membership.State{membership.Alive, membership.Suspect, membership.Leaving, membership.Dead} {
				o.Observe(counts[s], metric.WithAttributes(attribute.String("state", string(s))))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("register gauge membership_view_members: %w", err)
	}
	return nil
}
