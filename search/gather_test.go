package search

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
)

// Results that arrive in any order, twice, at the wrong attempt, from another snapshot or after the end must count as
// what they are, and only the first whole reply to a shard's own request may answer it.
func TestGatheringCountsEachResultAsWhatItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pinned := &catalog.Snapshot{ID: "s2", Shards: make([]catalog.Shard, rapid.IntRange(1, 4).Draw(t, "shards"))}
		g := newGathering(pinned)
		var attempts []*attempt
		for i := range pinned.Shards {
			pinned.Shards[i].ID = ident.ShardID(fmt.Sprint("shard", i))
			for n := range rapid.IntRange(1, 3).Draw(t, "attempts") {
				attempts = append(attempts, &attempt{shard: i, request: outcome.LeafRequest{ID: ident.RequestID(fmt.Sprint(i, "/", n)), Shard: pinned.Shards[i].ID, Snapshot: "s2"}})
				g.sent(i, ident.TargetID(fmt.Sprint("t", n)))
			}
		}
		answered, ended := map[ident.ShardID]string{}, map[*attempt]bool{}
		finished := false
		for range rapid.IntRange(0, 20).Draw(t, "results") {
			if !finished && rapid.IntRange(0, 9).Draw(t, "finish") == 0 {
				finished = true
				g.finish(outcome.ReasonDeadline)
			}
			a := rapid.SampledFrom(attempts).Draw(t, "attempt")
			of := a
			if rapid.IntRange(0, 3).Draw(t, "misdelivered") == 0 {
				of = rapid.SampledFrom(attempts).Draw(t, "reply to")
			}
			snap := rapid.SampledFrom([]ident.SnapshotID{"s1", "s2"}).Draw(t, "snapshot")
			res := outcome.LeafResult{Status: outcome.LeafOK, ID: of.request.ID, Shard: of.request.Shard, Snapshot: snap, Body: fmt.Appendf(nil, "%q", of.request.ID)}
			want := Accepted
			switch {
			case of != a:
				want = Foreign
			case snap != "s2":
				want = WrongSnapshot
			case finished && !ended[a]:
				want = Late
			case ended[a] || answered[a.request.Shard] != "":
				want = Duplicate
			default:
				answered[a.request.Shard] = string(res.Body)
			}
			ended[a] = true
			if got := g.receive(a, &res); got != want {
				t.Fatalf("reply to %s at %s in %s counts as %s, want %s", of.request.ID, a.request.ID, snap, got, want)
			}
		}
		g.finish(outcome.ReasonDeadline)
		answer := Answer{}
		g.answer(&answer, 0)
		if len(answer.Results) != len(answered) || answer.Coverage.Answered != len(answered) {
			t.Fatalf("%d results, coverage %+v, want %d", len(answer.Results), answer.Coverage, len(answered))
		}
		for _, r := range answer.Results {
			if answered[r.Shard] != string(r.Body) {
				t.Fatalf("shard %s has %s, want %s", r.Shard, r.Body, answered[r.Shard])
			}
		}
	})
}

// A reply body of any bytes must leave a caller's answer a whole JSON value.
func FuzzReplyBody(f *testing.F) {
	for _, seed := range []string{`{}`, `{"a":`, ``, ` null `, "\xff", `"\ud800"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req := outcome.LeafRequest{ID: "1", Shard: "a", Snapshot: "s1"}
		class := classify(&req, &outcome.LeafResult{Status: outcome.LeafOK, ID: "1", Shard: "a", Snapshot: "s1", Body: body})
		_, err := json.Marshal(json.RawMessage(body))
		require.Equal(t, class == Accepted, err == nil && len(body) > 0 && class != Empty, "%q counts as %s", body, class)
	})
}

// Equal queries must share a fingerprint, and queries that a target may tell apart must not.
func FuzzFingerprint(f *testing.F) {
	for _, seed := range []string{`{"b":1,"a":[1,2.0,null]}`, `{"a":1,"a":2}`, `"\ud800"`, "\"\xff\"", `[`, `"<>"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, query []byte) {
		c := canonical(query)
		require.Equal(t, string(c), string(canonical(c)), "canonical form is stable")
		require.Equal(t, Fingerprint("s", query), Fingerprint("s", c))
		require.NotEqual(t, Fingerprint("s", query), Fingerprint("t", query))
		if json.Valid(query) {
			require.True(t, json.Valid(c))
		}
	})
}

// A caller must not pass a crashing query off as a safe one, nor evade its quarantine by white space or key order.
func TestFingerprint(t *testing.T) {
	base := Fingerprint("s", []byte(`{"a":1,"b":[true,"x"]}`))
	require.Equal(t, base, Fingerprint("s", []byte(" {\"b\" : [true,\n\"\\u0078\"], \"a\":1 } ")))
	for _, other := range []string{`{"a":1,"b":[true,"x"],"a":1}`, `{"a":1.0,"b":[true,"x"]}`, `{"a":1,"b":["x",true]}`, `{"a":1,"b":[true,"x"]`} {
		require.NotEqual(t, base, Fingerprint("s", []byte(other)), other)
	}
	require.NotEqual(t, Fingerprint("s", []byte(`"\ud800"`)), Fingerprint("s", []byte(`"\ud801"`)))
	require.NotEqual(t, Fingerprint("ab", []byte(`1`)), Fingerprint("a", []byte(`b1`)))
}

// A decision line must stay bounded whatever the fan-out, and say how much it leaves out.
func TestLeafDecisionsAreBounded(t *testing.T) {
	r := &run{}
	for range maxLeaves + 3 {
		r.attempts = append(r.attempts, &attempt{target: &catalog.Target{ID: "t1", Zone: "lupeni"}, reason: replica.Probed, stale: true,
			class: Accepted, request: outcome.LeafRequest{Shard: "a", Kind: outcome.SendHedge}})
	}
	d := r.leafDecisions()
	require.Len(t, d.leaves, maxLeaves)
	require.Contains(t, d.String(), "a:t1@lupeni:hedge:probe:accepted:stale;a:t1@")
	require.Contains(t, d.String(), ";omitted:3")
}
