// Package ticket runs non-idempotent requests at most once. A ticket names the one process incarnation that may run a
// request: its issuer. Only the issuer has a record of whether the request ran; it keeps the outcome for resends.
package ticket

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// maxTokenBytes bounds an encoded ticket.
const maxTokenBytes = 2 << 10

// ErrMalformed is wrapped by the errors of ParseUnverified.
var ErrMalformed = errors.New("malformed ticket token")

// Claims is the payload of a ticket. Every VM can read it, but only the issuer has the key to verify it.
type Claims struct {
	VM          ident.VMID      `json:"vm"`
	Incarnation string          `json:"incarnation"`
	Service     ident.ServiceID `json:"service"`
	Shard       ident.ShardID   `json:"shard"`
	// Nonce identifies the ticket within its incarnation.
	Nonce string `json:"nonce"`
	// Expires is when the ticket expires, as the time since the start of the issuing incarnation on its monotonic clock.
	// Clock differences between VMs therefore do not matter.
	Expires time.Duration `json:"expires_ns"`
}

// key is the HMAC-SHA256 key that signs the tickets of one incarnation. It exists only in the memory of the process.
type key [sha256.Size]byte

func newKey() key {
	var k key
	if _, err := rand.Read(k[:]); err != nil {
		// crypto/rand does not fail on supported systems; without a random key any ticket could be forged.
		panic(fmt.Sprintf("ticket: generate signing key: %v", err))
	}
	return k
}

// sum returns the HMAC of a payload.
func (k key) sum(payload []byte) []byte {
	mac := hmac.New(sha256.New, k[:])
	mac.Write(payload)
	return mac.Sum(nil)
}

// sign returns the token of a ticket: JSON payload and HMAC, both in unpadded URL-safe base64, joined by a dot.
func (k key) sign(c Claims) (string, error) {
	payload, err := json.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("encode ticket claims: %w", err)
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(payload) + "." + enc.EncodeToString(k.sum(payload)), nil
}

// verify reports whether this key signed the token.
func (k key) verify(token string) bool {
	payload, mac, err := split(token)
	return err == nil && hmac.Equal(mac, k.sum(payload))
}

// ParseUnverified decodes the claims of a token without verifying its signature. Every error wraps ErrMalformed.
func ParseUnverified(token string) (Claims, error) {
	payload, _, err := split(token)
	if err != nil {
		return Claims{}, err
	}
	var c Claims
	dec := json.NewDecoder(bytes.NewReader(payload))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return Claims{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if c.VM == "" || c.Incarnation == "" || c.Nonce == "" {
		return Claims{}, fmt.Errorf("%w: VM, incarnation or nonce is missing", ErrMalformed)
	}
	return c, nil
}

// split decodes the payload and the HMAC of a token without verifying them.
func split(token string) (payload, mac []byte, err error) {
	first, second, found := strings.Cut(token, ".")
	if !found || len(token) > maxTokenBytes {
		return nil, nil, ErrMalformed
	}
	// Strict decoding ensures that each ticket has only one valid encoding.
	enc := base64.RawURLEncoding.Strict()
	if payload, err = enc.DecodeString(first); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if mac, err = enc.DecodeString(second); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return payload, mac, nil
}
