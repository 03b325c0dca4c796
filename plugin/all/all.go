// Package all imports every plug-in of the daemon, so that each registers itself with the kernel.
package all

import (
	// Each import registers one plug-in.
	_ "teaselbank.example/teaselbank/plugin/admission"
	_ "teaselbank.example/teaselbank/plugin/callerapi"
	_ "teaselbank.example/teaselbank/plugin/callerfront"
	_ "teaselbank.example/teaselbank/plugin/configuration"
	_ "teaselbank.example/teaselbank/plugin/coordinator"
	_ "teaselbank.example/teaselbank/plugin/crashguard"
	_ "teaselbank.example/teaselbank/plugin/forwarding"
	_ "teaselbank.example/teaselbank/plugin/logging"
	_ "teaselbank.example/teaselbank/plugin/membership"
	_ "teaselbank.example/teaselbank/plugin/metrics"
	_ "teaselbank.example/teaselbank/plugin/opsapi"
	_ "teaselbank.example/teaselbank/plugin/peerapi"
	_ "teaselbank.example/teaselbank/plugin/placement"
	_ "teaselbank.example/teaselbank/plugin/quarantine"
	_ "teaselbank.example/teaselbank/plugin/relay"
	_ "teaselbank.example/teaselbank/plugin/search"
	_ "teaselbank.example/teaselbank/plugin/shutdown"
	_ "teaselbank.example/teaselbank/plugin/siteapi"
	_ "teaselbank.example/teaselbank/plugin/ticket"
	_ "teaselbank.example/teaselbank/plugin/topology"
)
