// Package configbench measures the distribution of bundles to all VMs.
package configbench
