// Package decisionbench measures the decision log.
package decisionbench
