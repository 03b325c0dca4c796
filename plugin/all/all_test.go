package all_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/kernel"
	_ "teaselbank.example/teaselbank/plugin/all"
	"teaselbank.example/teaselbank/settings"
)

// Guards against a plug-in with a dependency that nothing provides, which would show only when the daemon starts.
func TestDaemonAssembles(t *testing.T) {
	app := kernel.New(&settings.Settings{VMID: "vm1", Zone: "lupeni", PeerListen: "127.0.0.1:0", LogLevel: "error", StartTimeout: time.Second})
	require.NoError(t, app.Err())
}
