package crashguard_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/crashguard"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Guards against sending a request that has crashed three targets, and against refusing one for fewer targets, for
// repeated crashes of the same target, or for crashes that are far apart.
func TestTable(t *testing.T) {
	table, now := crashguard.NewTable(), time.Unix(0, 0)
	require.False(t, table.Crashed("f", []ident.TargetID{"a", "b"}, now))
	require.False(t, table.Crashed("f", []ident.TargetID{"a"}, now))
	require.False(t, table.Refused("f", now))
	require.True(t, table.Crashed("f", []ident.TargetID{"c"}, now))
	require.True(t, table.Refused("f", now.Add(time.Minute)))
	require.False(t, table.Refused("g", now))
	require.False(t, table.Refused("f", now.Add(time.Hour)))
	require.False(t, table.Crashed("slow", []ident.TargetID{"a", "b"}, now))
	require.False(t, table.Crashed("slow", []ident.TargetID{"c"}, now.Add(time.Hour)), "crashes that are an hour apart must not add up")
}

// Guards against refusing a frequent request that is in flight at several targets when they crash for another cause: as
// long as targets reply to it, neither this VM's records nor a peer's refusal may block it. A request to which no
// target replies must be refused.
func TestServedRequestsAreNotRefused(t *testing.T) {
	table, now := crashguard.NewTable(), time.Unix(0, 0)
	three := []ident.TargetID{"a", "b", "c"}
	table.Served("frequent", now)
	require.False(t, table.Crashed("frequent", three, now.Add(time.Second)))
	table.Refuse("frequent", time.Minute, now.Add(time.Second))
	require.False(t, table.Refused("frequent", now.Add(time.Second)))
	for i := range 1500 {
		table.Served(crashguard.Fingerprint(strconv.Itoa(i)), now.Add(time.Second))
	}
	require.False(t, table.Crashed("frequent", three, now.Add(time.Second)), "replies to many other requests must not evict the record of this one at once")
	require.True(t, table.Crashed("frequent", three, now.Add(time.Hour)), "a reply from an hour ago must not prevent a refusal")
	table.Served("frequent", now.Add(time.Hour))
	require.False(t, table.Refused("frequent", now.Add(time.Hour)), "a reply must end the refusal, also if its request was sent before the refusal")
	require.True(t, table.Crashed("poison", three, now))
}

// Guards against a table that grows without bound as requests fail.
func TestTableIsBounded(t *testing.T) {
	table, now := crashguard.NewTable(), time.Unix(0, 0)
	require.True(t, table.Crashed("first", []ident.TargetID{"a", "b", "c"}, now))
	for i := range 4200 {
		at := now.Add(time.Duration(i+1) * time.Millisecond)
		require.True(t, table.Crashed(crashguard.Fingerprint(strconv.Itoa(i)), []ident.TargetID{"a", "b", "c"}, at))
	}
	require.False(t, table.Refused("first", now.Add(time.Minute)), "a full table must evict its oldest entry")
}

// fixedView is a membership.Viewer with a settable view.
type fixedView struct{ view *membership.View }

func (v *fixedView) View() *membership.View { return v.view }

// Guards against sending a request on because each VM has seen only one crash: all VMs report to the home VM of the
// request, which counts their reports together and makes all VMs refuse it.
func TestReportsAreCombinedAtHomeVM(t *testing.T) {
	const vms = 5
	var members []membership.Member
	var coordinators []*crashguard.Coordinator
	views := make([]*fixedView, vms)
	for i := range vms {
		mux := http.NewServeMux()
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		views[i] = &fixedView{}
		c := crashguard.New(crashguard.NewTable(), views[i], server.Client(), log.New(io.Discard))
		mux.Handle(peerv1connect.NewCrashServiceHandler(crashguard.Server{Coordinator: c}))
		coordinators = append(coordinators, c)
		members = append(members, membership.Member{ID: ident.VMID("vm-" + strconv.Itoa(i)), Zone: "a",
			Address: server.Listener.Addr().String(), State: membership.Alive})
	}
	for i, v := range views {
		v.view = membership.NewView(members[i], members, 1, time.Now())
	}
	for i := range 3 {
		coordinators[i].Crashed("poison", []ident.TargetID{ident.TargetID("t-" + strconv.Itoa(i))})
	}
	for _, c := range coordinators {
		require.Eventually(t, func() bool { return c.Refused("poison") }, 20*time.Second, time.Millisecond)
		require.False(t, c.Refused("other"))
	}
}
