// Package ident defines the identifier types that other packages share: those of VMs, availability zones, targets,
// services, shards, snapshots, requests and process incarnations.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"
)

// VMID identifies a virtual machine that runs one teaselbank daemon.
type VMID string

// Zone identifies an availability zone.
type Zone string

// TargetID identifies a target, a remote process that serves shards.
type TargetID string

// ServiceID identifies a service, which is one sharded index.
type ServiceID string

// ShardID identifies a shard within one snapshot of a service.
type ShardID string

// SnapshotID identifies one version of a service's index.
type SnapshotID string

// RequestID identifies one attempt of one request; it is unique across the fleet.
type RequestID string

// Incarnation identifies one run of a process, so that a restarted process is not mistaken for its predecessor.
type Incarnation struct {
	// Started is the start time of the process. It orders the incarnations of one VM.
	Started time.Time
	// Token is unique across restarts, even if two of them read the same start time from the clock.
	Token string
}

// tokenBytes is the number of random bytes in a token, which has two hexadecimal digits per byte.
const tokenBytes = 8

// NewIncarnation returns an incarnation with the given start time and a random token.
func NewIncarnation(started time.Time) Incarnation {
	return Incarnation{Started: started, Token: randomToken()}
}

// String returns the token, which alone identifies the incarnation.
func (i Incarnation) String() string { return i.Token }

// Newer reports whether i started after other. Equal start times are ordered by token.
func (i Incarnation) Newer(other Incarnation) bool {
	if i.Started.Equal(other.Started) {
		return i.Token > other.Token
	}
	return i.Started.After(other.Started)
}

// NewRequestID returns a random request ID.
func NewRequestID() RequestID { return RequestID(randomToken()) }

func randomToken() string {
	var b [tokenBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		// crypto/rand does not fail on supported systems. Without unique IDs the process cannot work correctly.
		panic(fmt.Sprintf("ident: read random bytes: %v", err))
	}
	return hex.EncodeToString(b[:])
}
