package platformclient_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/platformclient"
)

// Guards against an odd entry in the platform's list that costs a VM the rest of the list.
func TestOddEntriesOfTheVMListAreLeftOut(t *testing.T) {
	odd := []string{`null`, `[]`, `"vm"`, `{}`, `{"id":7,"zone":"a","peer_address":"10.0.0.1:80"}`,
		`{"id":"vm-9","zone":"a","peer_address":"10.0.0.1"}`, `{"id":"vm-9","zone":"a","peer_address":"10.0.0.1:65536"}`,
		`{"id":"vm-9","zone":"a","peer_address":"10.0.0.1:0"}`, `{"id":"vm-9","zone":"a","peer_address":"10.0.0.1:-1"}`,
		`{"id":"vm-9","zone":"a","peer_address":"10.0.0.1:80","leaving":1e400}`,
		`{"id":"` + strings.Repeat("v", 1<<16) + `","zone":"a","peer_address":"10.0.0.1:80"}`,
		`{"id":"vm-9","zone":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `[{"id":"vm-1","zone":"a","peer_address":"10.0.0.1:80"},`+strings.Join(odd, ",")+
			`,{"id":"vm-2","zone":"b","peer_address":"vm-2.example:80","leaving":true}]`)
	}))
	defer server.Close()
	vms, unreadable, err := platformclient.New(server.URL).VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, len(odd), unreadable)
	require.Equal(t, []platformclient.VM{{ID: "vm-1", Zone: "a", PeerAddress: "10.0.0.1:80"},
		{ID: "vm-2", Zone: "b", PeerAddress: "vm-2.example:80", Leaving: true}}, vms)
}
