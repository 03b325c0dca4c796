// Package ticket runs non-idempotent requests at most once. A ticket names the one process incarnation that may run a
// request; that incarnation alone knows whether the request ran, and keeps the outcome for resends.
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

// maxTokenBytes bounds a ticket as it travels.
const maxTokenBytes = 2 << 10

// ErrMalformed reports a token that is not a ticket.
var ErrMalformed = errors.New("not a ticket")

// Claims are what a ticket states. They are readable by every VM; only the issuer can verify them.
type Claims struct {
	VM          ident.VMID      `json:"vm"`
	Incarnation string          `json:"incarnation"`
	Service     ident.ServiceID `json:"service"`
	Shard       ident.ShardID   `json:"shard"`
	// Nonce identifies the ticket within its incarnation.
	Nonce string `json:"nonce"`
	// Expires is the time since the start of the incarnation on its monotonic clock, so that clock error between VMs
	// does not matter.
	Expires time.Duration `json:"expires_ns"`
}

// key signs the tickets of one incarnation. It exists only in the memory of the process.
type key [sha256.Size]byte

func newKey() key {
	var k key
	if _, err := rand.Read(k[:]); err != nil {
		// crypto/rand does not fail on supported systems; without a key any ticket could be forged.
		panic(fmt.Sprintf("ticket: no random bytes: %v", err))
	}
	return k
}

func (k key) sum(payload []byte) []byte {
	mac := hmac.New(sha256.New, k[:])
	mac.Write(payload)
	return mac.Sum(nil)
}

// sign returns the token of a ticket: payload and HMAC, both in URL-safe base64.
func (k key) sign(c Claims) (string, error) {
	payload, err := json.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("ticket: %w", err)
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(payload) + "." + enc.EncodeToString(k.sum(payload)), nil
}

// verify reports whether this key signed the token.
func (k key) verify(token string) bool {
	payload, mac, err := split(token)
	return err == nil && hmac.Equal(mac, k.sum(payload))
}

// Parse reads the claims of a token without verifying them.
func Parse(token string) (Claims, error) {
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
		return Claims{}, fmt.Errorf("%w: it names no issuer", ErrMalformed)
	}
	return c, nil
}

func split(token string) (payload, mac []byte, err error) {
	first, second, found := strings.Cut(token, ".")
	if !found || len(token) > maxTokenBytes {
		return nil, nil, ErrMalformed
	}
	// Strict decoding keeps one ticket from having several spellings.
	enc := base64.RawURLEncoding.Strict()
	if payload, err = enc.DecodeString(first); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if mac, err = enc.DecodeString(second); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return payload, mac, nil
}
