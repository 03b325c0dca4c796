// Package membersbench measures the membership protocol: its cost per VM and how fast it detects that a VM has left.
package membersbench
