// Package routingbench measures placement, which makes VMs the owners of targets, the slot limits that the gates of the
// owners enforce, and the relaying of leaf requests to the owners.
package routingbench
