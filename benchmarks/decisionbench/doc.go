// Package decisionbench measures the cost of the decision log.
package decisionbench
