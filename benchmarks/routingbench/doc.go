// Package routingbench measures placement, gates and the relay.
package routingbench
