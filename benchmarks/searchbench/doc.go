// Package searchbench measures the latency, coverage, extra sends and cost of searches over simulated leaf targets.
package searchbench
