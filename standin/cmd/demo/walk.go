package main

import (
	"context"
	"fmt"
	"time"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/plugin/callerapi"
	"teaselbank.example/teaselbank/standin/fleet"
)

// walk runs the demonstration's steps; each one checks what it shows.
func walk(ctx context.Context, f *fleet.Fleet) error {
	for _, step := range []func(context.Context, *fleet.Fleet) error{
		searchesThroughEachVM, orderOnce, loseTarget, zoneOutAndBack,
	} {
		if err := step(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

func search(ctx context.Context, d *fleet.Daemon, service string) (*callerapi.SearchResponse, error) {
	var answer callerapi.SearchResponse
	request := callerapi.SearchRequest{Service: service, Query: []byte(`{"bunker":"Lupeni 4"}`), Class: "urgent"}
	if _, err := fleet.Post(ctx, "http://"+d.Caller+"/v1/search", request, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

func show(d *fleet.Daemon, service string, a *callerapi.SearchResponse) {
	fmt.Printf("  %s (%s) %s: outcome=%s snapshot=%s coverage=%d/%d latency=%s", d.VM, d.Zone, service, a.Outcome,
		a.Snapshot, a.Coverage.Answered, a.Coverage.Expected, time.Duration(a.ElapsedMicros)*time.Microsecond)
	for _, m := range a.Coverage.Missing {
		fmt.Printf(" missing=%s(%s)", m.Shard, m.Reason)
	}
	fmt.Println()
}

func searchesThroughEachVM(ctx context.Context, f *fleet.Fleet) error {
	fmt.Println("searches through each VM:")
	for _, d := range f.Daemons {
		for _, service := range []string{"dispecerat", "depou-incarcare"} {
			a, err := search(ctx, d, service)
			if err != nil {
				return err
			}
			show(d, service, a)
			if a.Outcome != "complete" || a.Coverage.Answered != a.Coverage.Expected || len(a.Results) != a.Coverage.Expected {
				return fmt.Errorf("%s through %s: want a complete answer, got %s", service, d.VM, a.Outcome)
			}
		}
	}
	return nil
}

// orderOnce runs one order by ticket through another VM than the one that issued it, and sends it again through a
// third: the target must have run it once.
func orderOnce(ctx context.Context, f *fleet.Fleet) error {
	var issued callerapi.TicketResponse
	request := callerapi.TicketRequest{Service: "depou-incarcare", Shard: "shard-01"}
	if _, err := fleet.Post(ctx, "http://"+f.Daemons[0].Caller+"/v1/tickets", request, &issued); err != nil {
		return err
	}
	fmt.Printf("order with a ticket of %s, sent twice:\n", f.Daemons[0].VM)
	for _, d := range f.Daemons[1:3] {
		start := time.Now()
		var done callerapi.RunResponse
		order := callerapi.RunRequest{Ticket: issued.Ticket, Body: []byte(`{"deliver":"Lupeni 4","tonnes":2}`)}
		if _, err := fleet.Post(ctx, "http://"+d.Caller+"/v1/requests", order, &done); err != nil {
			return err
		}
		fmt.Printf("  %s: outcome=%s recorded=%t latency=%s\n", d.VM, done.Outcome, done.Recorded, time.Since(start).Round(time.Microsecond))
		if done.Outcome != outcome.Complete {
			return fmt.Errorf("order through %s: want complete, got %s (%s)", d.VM, done.Outcome, done.Reason)
		}
	}
	runs, err := f.NonIdempotentRuns(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("  runs at the targets: %d\n", runs)
	if runs != 1 {
		return fmt.Errorf("the order ran %d times", runs)
	}
	return nil
}

// loseTarget kills the only replica of one shard, while searches run: answers must name the missing shard.
func loseTarget(ctx context.Context, f *fleet.Fleet) error {
	var lost *fleet.Target
	for _, t := range f.Targets {
		if t.Service == "depou-incarcare" {
			lost = t
			break
		}
	}
	fmt.Printf("target %s, the only replica of its shard, is killed:\n", lost.ID)
	lost.Process.Kill()
	for _, d := range f.Daemons[:3] {
		a, err := search(ctx, d, "depou-incarcare")
		if err != nil {
			return err
		}
		show(d, "depou-incarcare", a)
		if a.Outcome != "partial" || a.Coverage.Answered != 3 || len(a.Coverage.Missing) != 1 || a.Coverage.Missing[0].Shard != "shard-00" {
			return fmt.Errorf("after the loss of %s: want 3 of 4 with shard-00 missing, got %+v", lost.ID, a.Coverage)
		}
	}
	return nil
}

// zoneOutAndBack takes a zone out by a signed bundle and checks that its targets start nothing new 3 s later.
func zoneOutAndBack(ctx context.Context, f *fleet.Fleet) error {
	const grace = 3 * time.Second
	zone := zones[1]
	next, err := f.SetZone(ctx, f.Bundle(), zone, bundle.ZoneOut)
	if err != nil {
		return err
	}
	fmt.Printf("availability zone %s is taken out by bundle version %d:\n", zone, next.Version)
	if err := searchFor(ctx, f, grace); err != nil {
		return err
	}
	before, err := f.StartedIn(ctx, zone)
	if err != nil {
		return err
	}
	if err := searchFor(ctx, f, time.Second); err != nil {
		return err
	}
	after, err := f.StartedIn(ctx, zone)
	if err != nil {
		return err
	}
	fmt.Printf("  requests started in %s in the second after %s: %d\n", zone, grace, after-before)
	if after != before {
		return fmt.Errorf("zone %s received %d new requests after it was out for %s", zone, after-before, grace)
	}
	if _, err := f.SetZone(ctx, next, zone, bundle.ZoneIn); err != nil {
		return err
	}
	fmt.Printf("availability zone %s is put back\n", zone)
	return searchFor(ctx, f, 2*time.Second)
}

// searchFor runs searches through every VM in turn; each must be complete.
func searchFor(ctx context.Context, f *fleet.Fleet, d time.Duration) error {
	end := time.Now().Add(d)
	n := 0
	for ; time.Now().Before(end); n++ {
		a, err := search(ctx, f.Daemons[n%len(f.Daemons)], "dispecerat")
		if err != nil {
			return err
		}
		if a.Outcome != "complete" {
			return fmt.Errorf("search %d: want a complete answer, got %s (%s)", n, a.Outcome, a.Reason)
		}
	}
	fmt.Printf("  %d searches in %s, all complete\n", n, d)
	return nil
}
