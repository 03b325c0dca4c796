package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// ErrAmbiguous is returned for JSON that different parsers could interpret differently.
var ErrAmbiguous = errors.New("JSON document is ambiguous")

// checkKeys returns an error for duplicate keys and keys that are not in lower case. encoding/json takes the last of
// two equal keys and matches names regardless of case; other parsers may not.
func checkKeys(data []byte) error {
	if !utf8.Valid(data) {
		return fmt.Errorf("%w: not valid UTF-8", ErrAmbiguous)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var open []*object
	for {
		token, err := dec.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'):
			open = append(open, &object{keys: map[string]bool{}, wantKey: true})
			continue
		case json.Delim('['):
			open = append(open, &object{})
			continue
		case json.Delim('}'), json.Delim(']'):
			open = open[:len(open)-1]
		default:
			if len(open) > 0 && open[len(open)-1].wantKey {
				if err := open[len(open)-1].addKey(token.(string), dec.InputOffset()); err != nil {
					return err
				}
				continue
			}
		}
		// A value has ended. Within an object the next token is a key.
		if len(open) > 0 && open[len(open)-1].keys != nil {
			open[len(open)-1].wantKey = true
		}
	}
}

// object is a JSON object or array whose end has not been read yet. For an array keys is nil.
type object struct {
	keys map[string]bool
	// wantKey is true if the next token is a key.
	wantKey bool
}

func (o *object) addKey(key string, offset int64) error {
	if strings.Trim(key, "abcdefghijklmnopqrstuvwxyz_") != "" {
		return fmt.Errorf("%w: key %q before byte %d is not in lower case", ErrAmbiguous, key, offset)
	}
	if o.keys[key] {
		return fmt.Errorf("%w: key %q before byte %d appears twice", ErrAmbiguous, key, offset)
	}
	o.keys[key], o.wantKey = true, false
	return nil
}

// decodeHandWritten parses a JSON document written by hand. White space is allowed; unknown fields, duplicate keys and
// keys that are not in lower case are not.
func decodeHandWritten[T any](data []byte) (*T, error) {
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	v, err := decodeStrict[T](data)
	if err != nil {
		return nil, err
	}
	if err := checkKeys(data); err != nil {
		return nil, err
	}
	return v, nil
}

// DecodeKeyring parses and validates a keyring.
func DecodeKeyring(data []byte) (Keyring, error) {
	k, err := decodeHandWritten[Keyring](data)
	if err != nil {
		return Keyring{}, fmt.Errorf("decode keyring: %w", err)
	}
	return *k, k.Validate()
}

// DecodeRotation parses a rotation and validates its keyring. It does not verify signatures.
func DecodeRotation(data []byte) (*Rotation, error) {
	c, err := decodeHandWritten[Rotation](data)
	if err != nil {
		return nil, fmt.Errorf("decode rotation: %w", err)
	}
	return c, c.Keyring.Validate()
}

// DecodeKey parses one signer's public key.
func DecodeKey(data []byte) (Key, error) {
	k, err := decodeHandWritten[Key](data)
	if err != nil {
		return Key{}, fmt.Errorf("decode public key: %w", err)
	}
	return *k, nil
}
