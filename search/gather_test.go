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

// Results may arrive in any order, twice, at the wrong attempt, from another snapshot or after the end. Each must get the
// right class, and only the first complete reply to a shard's own request may answer the shard.
func TestGathererClassifiesResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pinned := &catalog.Snapshot{ID: "s2", Shards: make([]catalog.Shard, rapid.IntRange(1, 4).Draw(t, "shards"))}
		g := newGatherer(pinned)
		var attempts []*attempt
		for i := range pinned.Shards {
			pinned.Shards[i].ID = ident.ShardID(fmt.Sprint("shard", i))
			for n := range rapid.IntRange(1, 3).Draw(t, "attempts") {
				attempts = append(attempts, &attempt{shard: i, request: outcome.LeafRequest{ID: ident.RequestID(fmt.Sprint(i, "/", n)), Shard: pinned.Shards[i].ID, Snapshot: "s2"}})
				g.recordSend(i, ident.TargetID(fmt.Sprint("t", n)))
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
			repliedTo := a
			if rapid.IntRange(0, 3).Draw(t, "misdelivered") == 0 {
				repliedTo = rapid.SampledFrom(attempts).Draw(t, "reply to")
			}
			snap := rapid.SampledFrom([]ident.SnapshotID{"s1", "s2"}).Draw(t, "snapshot")
			res := outcome.LeafResult{Status: outcome.LeafOK, ID: repliedTo.request.ID, Shard: repliedTo.request.Shard, Snapshot: snap, Body: fmt.Appendf(nil, "%q", repliedTo.request.ID)}
			want := Accepted
			switch {
			case repliedTo != a:
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
				t.Fatalf("reply to request %s, received for request %s from snapshot %s, has class %s, want %s", repliedTo.request.ID, a.request.ID, snap, got, want)
			}
		}
		g.finish(outcome.ReasonDeadline)
		answer := Answer{}
		g.fillAnswer(&answer, 0)
		if len(answer.Results) != len(answered) || answer.Coverage.Answered != len(answered) {
			t.Fatalf("%d results with coverage %+v, want %d answered shards", len(answer.Results), answer.Coverage, len(answered))
		}
		for _, r := range answer.Results {
			if answered[r.Shard] != string(r.Body) {
				t.Fatalf("shard %s is answered with body %s, want %s", r.Shard, r.Body, answered[r.Shard])
			}
		}
	})
}

// Whatever bytes a reply body contains, the answer to the caller must stay a complete JSON value.
func FuzzReplyBody(f *testing.F) {
	for _, seed := range []string{`{}`, `{"a":`, ``, ` null `, "\xff", `"\ud800"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req := outcome.LeafRequest{ID: "1", Shard: "a", Snapshot: "s1"}
		class := classify(&req, &outcome.LeafResult{Status: outcome.LeafOK, ID: "1", Shard: "a", Snapshot: "s1", Body: body})
		_, err := json.Marshal(json.RawMessage(body))
		require.Equal(t, class == Accepted, err == nil && len(body) > 0 && class != Empty, "reply body %q has class %s", body, class)
	})
}

// Equal queries must share a fingerprint, and queries that a target may tell apart must not.
func FuzzFingerprint(f *testing.F) {
	for _, seed := range []string{`{"b":1,"a":[1,2.0,null]}`, `{"a":1,"a":2}`, `"\ud800"`, "\"\xff\"", `[`, `"<>"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, query []byte) {
		c := canonical(query)
		require.Equal(t, string(c), string(canonical(c)), "canonical form of a canonical query differs from it")
		require.Equal(t, Fingerprint("s", query), Fingerprint("s", c))
		require.NotEqual(t, Fingerprint("s", query), Fingerprint("t", query))
		if json.Valid(query) {
			require.True(t, json.Valid(c))
		}
	})
}

// A crashing query must not share the fingerprint of a safe one, and white space, key order or escapes must not give it
// a new fingerprint, which would evade its quarantine.
func TestFingerprint(t *testing.T) {
	base := Fingerprint("s", []byte(`{"a":1,"b":[true,"x"]}`))
	require.Equal(t, base, Fingerprint("s", []byte(" {\"b\" : [true,\n\"\\u0078\"], \"a\":1 } ")))
	for _, other := range []string{`{"a":1,"b":[true,"x"],"a":1}`, `{"a":1.0,"b":[true,"x"]}`, `{"a":1,"b":["x",true]}`, `{"a":1,"b":[true,"x"]`} {
		require.NotEqual(t, base, Fingerprint("s", []byte(other)), other)
	}
	require.NotEqual(t, Fingerprint("s", []byte(`"\ud800"`)), Fingerprint("s", []byte(`"\ud801"`)))
	require.NotEqual(t, Fingerprint("ab", []byte(`1`)), Fingerprint("a", []byte(`b1`)))
}

// The size of a decision line must be bounded for any fan-out, and the line must say how many sends it leaves out.
func TestLeafDecisionsAreBounded(t *testing.T) {
	r := &run{}
	for range maxLoggedLeaves + 3 {
		r.attempts = append(r.attempts, &attempt{target: &catalog.Target{ID: "t1", Zone: "lupeni"}, reason: replica.ReasonProbe, stale: true,
			class: Accepted, request: outcome.LeafRequest{Shard: "a", Kind: outcome.SendHedge}})
	}
	d := r.leafDecisions()
	require.Len(t, d.leaves, maxLoggedLeaves)
	require.Contains(t, d.String(), "a:t1@lupeni:hedge:probe:accepted:stale;a:t1@")
	require.Contains(t, d.String(), ";omitted:3")
}
