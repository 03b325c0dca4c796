package membership

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
)

// logChanges writes one line for each change of a member's state.
func logChanges(t *Table, logger *log.Logger) {
	logger = logger.With("component", "membership")
	known := map[ident.VMID]membership.Member{}
	t.OnChange(func(v *membership.View) {
		next := make(map[ident.VMID]membership.Member, len(v.Members))
		for _, m := range v.Members {
			next[m.ID] = m
			old, ok := known[m.ID]
			if !ok || old.State != m.State || old.Incarnation.Token != m.Incarnation.Token || old.Indirect != m.Indirect {
				logger.Info("member", "peer", m.ID, "peer_zone", m.Zone, "state", m.State, "was", old.State,
					"incarnation", m.Incarnation, "sequence", m.Sequence, "indirect", m.Indirect)
			}
		}
		known = next
	})
}

// observe registers the metrics; docs/operations/metrics.md lists them.
func observe(t *Table, traffic *wire.Traffic, meter metric.Meter) error {
	counter := func(name, help string, read func(membership.Stats) uint64) error {
		_, err := meter.Int64ObservableCounter("membership_"+name, metric.WithDescription(help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(int64(read(t.Stats())))
				return nil
			}))
		return err
	}
	for _, c := range []struct {
		name, help string
		read       func(membership.Stats) uint64
	}{
		{"probes", "direct probes started", func(s membership.Stats) uint64 { return s.Probes }},
		{"probe_failures", "direct probes without a reply", func(s membership.Stats) uint64 { return s.ProbeFailures }},
		{"indirect_probes", "indirect probes asked for", func(s membership.Stats) uint64 { return s.IndirectProbes }},
		{"dead_probes", "probes to members believed dead", func(s membership.Stats) uint64 { return s.DeadProbes }},
		{"pushes", "pushed messages", func(s membership.Stats) uint64 { return s.Pushes }},
		{"syncs", "requests for all members of a peer", func(s membership.Stats) uint64 { return s.Syncs }},
		{"suspicions", "members that this VM began to suspect", func(s membership.Stats) uint64 { return s.Suspicions }},
		{"refutations", "claims about this VM that it refuted", func(s membership.Stats) uint64 { return s.Refutations }},
		{"reported_failures", "failures of the data path that caused a probe", func(s membership.Stats) uint64 { return s.Reports }},
		{"pauses", "pauses of this process over 1 s", func(s membership.Stats) uint64 { return s.Pauses }},
		{"unrefreshed_views", "stale views used again without an answer of a peer", func(s membership.Stats) uint64 { return s.Unrefreshed }},
	} {
		if err := counter(c.name, c.help, c.read); err != nil {
			return fmt.Errorf("membership metrics: %w", err)
		}
	}
	return errors.Join(observeTraffic(traffic, meter), observeView(t, meter))
}

func observeTraffic(traffic *wire.Traffic, meter metric.Meter) error {
	for _, c := range []struct {
		name, unit string
		count      *atomic.Uint64
	}{
		{"sent_messages", "", &traffic.SentMessages}, {"received_messages", "", &traffic.ReceivedMessages},
		{"sent", "By", &traffic.SentBytes}, {"received", "By", &traffic.ReceivedBytes},
	} {
		_, err := meter.Int64ObservableCounter("membership_"+c.name, metric.WithUnit(c.unit),
			metric.WithDescription("messages of the membership protocol, without HTTP framing"),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(int64(c.count.Load()))
				return nil
			}))
		if err != nil {
			return fmt.Errorf("membership metrics: %w", err)
		}
	}
	return nil
}

func observeView(t *Table, meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge("membership_view_members", metric.WithDescription("members of the view by state"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			counts := map[membership.State]int64{}
			for _, m := range t.View().Members {
				counts[m.State]++
			}
			for _, s := range []membership.State{membership.Alive, membership.Suspect, membership.Leaving, membership.Dead} {
				o.Observe(counts[s], metric.WithAttributes(attribute.String("state", string(s))))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("membership metrics: %w", err)
	}
	return nil
}
