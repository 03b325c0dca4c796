package crashguard_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/crashguard"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
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

// fleet is a set of VMs that call each other over HTTP.
type fleet struct {
	t            *testing.T
	members      []membership.Member
	coordinators []*crashguard.Coordinator
	handlers     []http.Handler
	client       *http.Client
}

func newFleet(t *testing.T, vms int) *fleet {
	f := &fleet{t: t, members: make([]membership.Member, vms), coordinators: make([]*crashguard.Coordinator, vms), handlers: make([]http.Handler, vms)}
	for i := range vms {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.handlers[i].ServeHTTP(w, r) }))
		t.Cleanup(server.Close)
		f.client = server.Client()
		f.members[i] = membership.Member{ID: ident.VMID("vm-" + strconv.Itoa(i)), Zone: "a",
			Address: server.Listener.Addr().String(), State: membership.Alive}
	}
	for i := range vms {
		f.restart(i)
	}
	return f
}

// restart replaces a VM by one that knows nothing of before.
func (f *fleet) restart(i int) {
	f.members[i].Incarnation = ident.Incarnation{Started: time.Now(), Token: strconv.Itoa(i)}
	c := crashguard.New(crashguard.NewTable(), &fixedView{membership.NewView(f.members[i], f.members, 1, time.Now())}, f.client, log.New(io.Discard))
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewCrashServiceHandler(crashguard.Server{Coordinator: c}))
	f.coordinators[i], f.handlers[i] = c, mux
}

// refuse has all VMs refuse a request.
func (f *fleet) refuse(fingerprint crashguard.Fingerprint) {
	for i := range 3 {
		f.coordinators[i%len(f.coordinators)].Crashed(fingerprint, []ident.TargetID{ident.TargetID("t-" + strconv.Itoa(i))})
	}
	for _, c := range f.coordinators {
		require.Eventually(f.t, func() bool { return c.Refused(fingerprint) }, 20*time.Second, time.Millisecond)
	}
}

// Guards against sending a request on because each VM has seen only one crash: all VMs report to the home VM of the
// request, which counts their reports together and makes all VMs refuse it.
func TestReportsAreCombinedAtHomeVM(t *testing.T) {
	f := newFleet(t, 5)
	f.refuse("poison")
	for _, c := range f.coordinators {
		require.False(t, c.Refused("other"))
	}
}

// Guards against refusals that VMs forget as they are restarted in turn, and against a VM that takes callers before it has
// learned them.
func TestRestartsInTurnForgetNoRefusal(t *testing.T) {
	f := newFleet(t, 4)
	for _, c := range f.coordinators {
		c.Learn(t.Context())
	}
	f.refuse("poison")
	for range 2 {
		for i := range f.coordinators {
			f.restart(i)
			require.False(t, f.coordinators[i].Ready())
			require.False(t, f.coordinators[i].Refused("poison"))
			f.coordinators[i].Learn(t.Context())
			require.True(t, f.coordinators[i].Ready())
			require.True(t, f.coordinators[i].Refused("poison"), "vm-%d", i)
			require.False(t, f.coordinators[i].Refused("other"))
		}
	}
}

// Guards against VMs that never get ready, or wait for each other, because all of them have just started.
func TestAllVMsStartTogether(t *testing.T) {
	for _, vms := range []int{1, 3} {
		f := newFleet(t, vms)
		var learning sync.WaitGroup
		for _, c := range f.coordinators {
			learning.Go(func() { c.Learn(t.Context()) })
		}
		learning.Wait()
		for _, c := range f.coordinators {
			require.True(t, c.Ready())
		}
	}
}

// Guards against a VM that goes on sending a request that the others refuse, because it did not get the refusal and the home VM
// counts its reports from zero.
func TestHomeTellsAVMThatMissedTheRefusal(t *testing.T) {
	f := newFleet(t, 5)
	f.refuse("poison")
	for i := range f.coordinators {
		missed := crashguard.New(crashguard.NewTable(), &fixedView{membership.NewView(f.members[i], f.members, 1, time.Now())}, f.client, log.New(io.Discard))
		missed.Crashed("poison", []ident.TargetID{"t-9"})
		if home := placement.Rank("crash poison", f.members)[0].ID; home == f.members[i].ID {
			continue // it would report to itself
		}
		require.Eventually(t, func() bool { return missed.Refused("poison") }, 20*time.Second, time.Millisecond, "vm-%d", i)
	}
}

// Guards against a table that counts the crashes of a refused request from zero, or shortens its refusal.
func TestCrashOfARefusedRequest(t *testing.T) {
	table, now := crashguard.NewTable(), time.Unix(0, 0)
	require.True(t, table.Crashed("f", []ident.TargetID{"a", "b", "c"}, now))
	require.True(t, table.Crashed("f", []ident.TargetID{"d"}, now.Add(9*time.Minute)))
	require.True(t, table.Refused("f", now.Add(18*time.Minute)))
	table.Refuse("f", time.Second, now.Add(10*time.Minute))
	require.True(t, table.Refused("f", now.Add(18*time.Minute)))
	require.Equal(t, map[crashguard.Fingerprint]time.Duration{"f": time.Minute}, table.Refusals(now.Add(18*time.Minute)))
	require.Empty(t, table.Refusals(now.Add(19*time.Minute)))
}
