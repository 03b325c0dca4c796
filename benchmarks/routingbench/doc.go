// Package routingbench measures placement, the slot limits enforced by gates, and the relaying of leaf requests.
package routingbench
