package search

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Equal queries must not have different fingerprints, nor different queries or services the same one.
func TestFingerprintIsCanonical(t *testing.T) {
	one := Fingerprint("dispecerat", []byte(`{"a": 1, "b": [2 ,3]}`))
	assert.Equal(t, one, Fingerprint("dispecerat", []byte(`{"b":[2,3],"a":1}`)))
	assert.NotEqual(t, one, Fingerprint("subventii", []byte(`{"b":[2,3],"a":1}`)))
	assert.NotEqual(t, Fingerprint("s", []byte(`9007199254740993`)), Fingerprint("s", []byte(`9007199254740992`)))
}
