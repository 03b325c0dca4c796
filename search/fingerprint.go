package search

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"teaselbank.example/teaselbank/ident"
)

// Fingerprint returns the SHA-256 hash, in hex, of a service ID and the canonical form of a query.
func Fingerprint(service ident.ServiceID, query []byte) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s", len(service), service)
	_, _ = h.Write(canonical(query))
	return hex.EncodeToString(h.Sum(nil))
}

var errDuplicateKey = errors.New("duplicate key in a JSON object")

// canonical re-encodes a JSON query with sorted keys and without white space. Queries that decoding would change are
// returned unmodified, because two queries that a target may tell apart must not share a fingerprint. These are invalid
// JSON, objects with repeated keys, and strings with bytes or escapes that are not valid Unicode.
func canonical(query []byte) []byte {
	if !utf8.Valid(query) || !json.Valid(query) {
		return query
	}
	dec := json.NewDecoder(bytes.NewReader(query))
	dec.UseNumber()
	value, err := decodeValue(dec)
	if err != nil {
		return query
	}
	out, err := json.Marshal(value)
	if err != nil || strings.ContainsRune(string(out), utf8.RuneError) {
		return query
	}
	return out
}

func decodeValue(dec *json.Decoder) (any, error) {
	token, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return decodeObject(dec)
	case json.Delim('['):
		return decodeArray(dec)
	default:
		return token, nil
	}
}

func decodeObject(dec *json.Decoder) (any, error) {
	object := map[string]any{}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return nil, err
		}
		name, _ := key.(string)
		if _, repeated := object[name]; repeated {
			return nil, errDuplicateKey
		}
		if object[name], err = decodeValue(dec); err != nil {
			return nil, err
		}
	}
	_, err := dec.Token()
	return object, err
}

func decodeArray(dec *json.Decoder) (any, error) {
	array := []any{}
	for dec.More() {
		value, err := decodeValue(dec)
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := dec.Token()
	return array, err
}
