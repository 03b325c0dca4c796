// Package configbench measures the spreading of bundles.
package configbench
