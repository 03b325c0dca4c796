package configuration_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/distribution"
	"teaselbank.example/teaselbank/kernel"
	_ "teaselbank.example/teaselbank/plugin/all"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/standin/bundles"
)

// Guards against a plug-in with a dependency that nothing provides, which shows only when the daemon is assembled.
func TestDaemonAssembles(t *testing.T) {
	root, err := json.Marshal(bundles.NewSigners(0, "ana", "ion").Keyring)
	require.NoError(t, err)
	s, err := settings.Parse([]string{"--vm-id", "vm-1", "--zone", "lupeni", "--platform-url", "http://127.0.0.1:1",
		"--root-keyring", string(root)})
	require.NoError(t, err)
	var d *distribution.Distributor
	var store *config.Store
	require.NoError(t, kernel.New(s, fx.Populate(&d, &store)).Err())
	require.Same(t, store, d.Store)
	require.False(t, d.Ready())
	version, _ := d.Version()
	require.Zero(t, version)
}
