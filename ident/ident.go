// Package ident holds the identities that the other packages share: VMs, availability zones, targets, shards,
// snapshots and process incarnations.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"
)

// VMID names a virtual machine that runs one teaselbank daemon.
type VMID string

// Zone names an availability zone.
type Zone string

// TargetID names a target (a back end that serves shards).
type TargetID string

// ServiceID names a service: one sharded index.
type ServiceID string

// ShardID names a shard within one snapshot of a service.
type ShardID string

// SnapshotID names one version of a service's index.
type SnapshotID string

// RequestID identifies one attempt of one request; it is unique across the fleet.
type RequestID string

// Incarnation identifies one run of a process, so that a restarted process is never taken for the old one.
type Incarnation struct {
	// Started orders the incarnations of one VM.
	Started time.Time
	// Token is unique across restarts, also when two start at the same clock reading.
	Token string
}

const tokenBytes = 8

// NewIncarnation returns the incarnation of a process that started at the given time.
func NewIncarnation(started time.Time) Incarnation {
	return Incarnation{Started: started, Token: randomToken()}
}

// String returns the token, which alone identifies the incarnation.
func (i Incarnation) String() string { return i.Token }

// Newer reports whether i started after other.
func (i Incarnation) Newer(other Incarnation) bool {
	if i.Started.Equal(other.Started) {
		return i.Token > other.Token
	}
	return i.Started.After(other.Started)
}

// NewRequestID returns a random request identity.
func NewRequestID() RequestID { return RequestID(randomToken()) }

func randomToken() string {
	var b [tokenBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		// crypto/rand does not fail on supported systems; without identities nothing else can hold.
		panic(fmt.Sprintf("ident: no random bytes: %v", err))
	}
	return hex.EncodeToString(b[:])
}
