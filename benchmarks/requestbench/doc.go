// Package requestbench measures admission control, tickets and the quarantine of crashing requests.
package requestbench
