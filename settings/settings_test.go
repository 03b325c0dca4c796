package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/settings"
)

func faults(t *testing.T, args ...string) map[string]settings.Fault {
	t.Helper()
	_, err := settings.Parse(args)
	var all *settings.FaultsError
	require.ErrorAs(t, err, &all)
	found := map[string]settings.Fault{}
	for _, f := range all.Faults {
		found[f.Flag] = f
		require.NotEmpty(t, f.Allowed)
		require.Contains(t, err.Error(), f.String())
	}
	return found
}

// Guards against reporting only the first invalid setting, also when one of the values cannot be parsed.
func TestThreeBadSettingsAreNamedTogether(t *testing.T) {
	found := faults(t, "--balancer-delay=abc", "--zone", "Not A Zone", "--peer-listen=localhost")
	require.Equal(t, "abc", found["balancer-delay"].Value)
	require.Equal(t, "Not A Zone", found["zone"].Value)
	require.Equal(t, "localhost", found["peer-listen"].Value)
}

// Guards against environment variables that are validated less strictly than flags, and against unknown flags or missing
// values that hide other faults.
func TestEnvironmentAndFlagsAreCheckedAlike(t *testing.T) {
	t.Setenv("TEASELBANK_DRAIN_TIMEOUT", "soon")
	t.Setenv("TEASELBANK_LOG_LEVEL", "loud")
	found := faults(t, "--no-such-flag", "--vm-id", "--start-timeout=1h", "extra")
	require.Equal(t, "soon", found["drain-timeout"].Value)
	require.Equal(t, "loud", found["log-level"].Value)
	require.Equal(t, "1h", found["start-timeout"].Value)
	for _, flag := range []string{"no-such-flag", "vm-id", "", "platform-url", "root-keyring", "zone"} {
		require.Contains(t, found, flag)
	}
}

// Guards against --version and --help failing because required settings are missing.
func TestVersionAndHelpNeedNoSettings(t *testing.T) {
	s, err := settings.Parse([]string{"--version"})
	require.NoError(t, err)
	require.True(t, s.Version)
	_, err = settings.Parse([]string{"--help"})
	require.ErrorContains(t, err, "--balancer-delay")
}
