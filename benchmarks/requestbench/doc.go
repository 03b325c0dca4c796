// Package requestbench measures admission, tickets and quarantine.
package requestbench
