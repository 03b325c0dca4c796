// Package membersbench measures the failure detector and its cost.
package membersbench
