// Package fleetbench measures whole processes under restarts, failures and zone changes.
package fleetbench
