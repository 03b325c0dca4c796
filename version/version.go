// Package version holds the version of the binaries.
package version

// Version is the version string. It can be set at link time with -ldflags "-X .../version.Version=...".
var Version = "0.1.0-dev"
