// Package configbench measures the distribution of bundles, the signed configurations of a fleet, to all VMs.
package configbench
