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

// walk runs the steps of the demonstration in order. Each step checks its results; the first error ends the walk.
func walk(ctx context.Context, f *fleet.Fleet) error {
	for _, step := range []func(context.Context, *fleet.Fleet) error{
		searchThroughEachVM, sendOrderTwice, killTarget, removeAndRestoreZone,
	} {
		if err := step(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// search sends one search to the daemon.
func search(ctx context.Context, d *fleet.Daemon, service string) (*callerapi.SearchResponse, error) {
	var resp callerapi.SearchResponse
	request := callerapi.SearchRequest{Service: service, Query: []byte(`{"bunker":"Lupeni 4"}`), Class: "urgent"}
	if _, err := fleet.Post(ctx, "http://"+d.CallerAddress+"/v1/search", request, &resp); err != nil {
		return nil, err
	}
	return &resp, nil
}

// printResult prints one line with the outcome and the coverage of a search.
func printResult(d *fleet.Daemon, service string, resp *callerapi.SearchResponse) {
	fmt.Printf("  %s (%s) %s: outcome=%s snapshot=%s coverage=%d/%d latency=%s", d.VM, d.Zone, service, resp.Outcome,
		resp.Snapshot, resp.Coverage.Answered, resp.Coverage.Expected, time.Duration(resp.ElapsedMicros)*time.Microsecond)
	for _, m := range resp.Coverage.Missing {
		fmt.Printf(" missing=%s(%s)", m.Shard, m.Reason)
	}
	fmt.Println()
}

// searchThroughEachVM searches both services through every VM; each response must be complete.
func searchThroughEachVM(ctx context.Context, f *fleet.Fleet) error {
	fmt.Println("searches through each VM:")
	for _, d := range f.Daemons {
		for _, service := range []string{"dispecerat", "depou-incarcare"} {
			resp, err := search(ctx, d, service)
			if err != nil {
				return err
			}
			printResult(d, service, resp)
			if resp.Outcome != "complete" || resp.Coverage.Answered != resp.Coverage.Expected || len(resp.Results) != resp.Coverage.Expected {
				return fmt.Errorf("search of %s through %s: want a complete response, got outcome %s", service, d.VM, resp.Outcome)
			}
		}
	}
	return nil
}

// sendOrderTwice sends one order with the same ticket through two VMs, neither of which issued the ticket. Both
// responses must be complete, and the order must have run only once.
func sendOrderTwice(ctx context.Context, f *fleet.Fleet) error {
	var issued callerapi.TicketResponse
	request := callerapi.TicketRequest{Service: "depou-incarcare", Shard: "shard-01"}
	if _, err := fleet.Post(ctx, "http://"+f.Daemons[0].CallerAddress+"/v1/tickets", request, &issued); err != nil {
		return err
	}
	fmt.Printf("order with a ticket of %s, sent twice:\n", f.Daemons[0].VM)
	for _, d := range f.Daemons[1:3] {
		start := time.Now()
		var resp callerapi.RunResponse
		order := callerapi.RunRequest{Ticket: issued.Ticket, Body: []byte(`{"deliver":"Lupeni 4","tonnes":2}`)}
		if _, err := fleet.Post(ctx, "http://"+d.CallerAddress+"/v1/requests", order, &resp); err != nil {
			return err
		}
		fmt.Printf("  %s: outcome=%s recorded=%t latency=%s\n", d.VM, resp.Outcome, resp.Recorded, time.Since(start).Round(time.Microsecond))
		if resp.Outcome != outcome.Complete {
			return fmt.Errorf("order through %s: want outcome complete, got %s (%s)", d.VM, resp.Outcome, resp.Reason)
		}
	}
	runs, err := f.NonIdempotentRuns(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("  runs at the targets: %d\n", runs)
	if runs != 1 {
		return fmt.Errorf("order sent twice ran %d times at the targets, want once", runs)
	}
	return nil
}

// killTarget kills the only replica of one shard. The responses of the searches that follow must be partial and name
// the missing shard.
func killTarget(ctx context.Context, f *fleet.Fleet) error {
	var killed *fleet.Target
	for _, t := range f.Targets {
		if t.Service == "depou-incarcare" {
			killed = t
			break
		}
	}
	fmt.Printf("target %s, the only replica of its shard, is killed:\n", killed.ID)
	killed.Process.Kill()
	for _, d := range f.Daemons[:3] {
		resp, err := search(ctx, d, "depou-incarcare")
		if err != nil {
			return err
		}
		printResult(d, "depou-incarcare", resp)
		if resp.Outcome != "partial" || resp.Coverage.Answered != 3 || len(resp.Coverage.Missing) != 1 || resp.Coverage.Missing[0].Shard != "shard-00" {
			return fmt.Errorf("search after target %s was killed: want 3 of 4 shards with shard-00 missing, got coverage %+v", killed.ID, resp.Coverage)
		}
	}
	return nil
}

// removeAndRestoreZone takes an availability zone out by a signed bundle, checks that its targets start no new requests
// from 3 s later on, and puts the zone back. All searches must be complete.
func removeAndRestoreZone(ctx context.Context, f *fleet.Fleet) error {
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
	before, err := f.RequestsStartedIn(ctx, zone)
	if err != nil {
		return err
	}
	if err := searchFor(ctx, f, time.Second); err != nil {
		return err
	}
	after, err := f.RequestsStartedIn(ctx, zone)
	if err != nil {
		return err
	}
	fmt.Printf("  requests started in %s in the second after %s: %d\n", zone, grace, after-before)
	if after != before {
		return fmt.Errorf("targets in availability zone %s started %d new requests more than %s after the zone was taken out", zone, after-before, grace)
	}
	if _, err := f.SetZone(ctx, next, zone, bundle.ZoneIn); err != nil {
		return err
	}
	fmt.Printf("availability zone %s is put back\n", zone)
	return searchFor(ctx, f, 2*time.Second)
}

// searchFor runs searches one after another, through the VMs in turn, for the given time. Each must be complete.
func searchFor(ctx context.Context, f *fleet.Fleet, d time.Duration) error {
	end := time.Now().Add(d)
	n := 0
	for ; time.Now().Before(end); n++ {
		resp, err := search(ctx, f.Daemons[n%len(f.Daemons)], "dispecerat")
		if err != nil {
			return err
		}
		if resp.Outcome != "complete" {
			return fmt.Errorf("search %d: want a complete response, got outcome %s (%s)", n, resp.Outcome, resp.Reason)
		}
	}
	fmt.Printf("  %d searches in %s, all complete\n", n, d)
	return nil
}
