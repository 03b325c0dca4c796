// Package fleetbench measures a fleet of real processes under load during configuration changes, restarts, failures and
// zone changes.
package fleetbench
