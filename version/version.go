// Package version holds the version of the programs.
package version

// Version is set at link time with -ldflags "-X .../version.Version=...".
var Version = "0.1.0-dev"
