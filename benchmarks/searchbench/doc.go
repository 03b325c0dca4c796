// Package searchbench measures searches over simulated leafs.
package searchbench
