// Package newkey makes random keys and their verifiers.
package newkey

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/scramverifier"
)

const (
	// secretBytes is the length of a key before encoding.
	secretBytes = 24
	idBytes     = 4
)

// New returns a random key and what the configuration stores of it. An empty id
// is replaced by a random one.
func New(id model.KeyID) (secret string, key config.Key, err error) {
	if id == "" {
		id = model.KeyID("key-" + hex.EncodeToString(random(idBytes)))
	}
	secret = base64.RawURLEncoding.EncodeToString(random(secretBytes))
	verifier, err := scramverifier.New(secret, random(scramverifier.SaltBytes), scramverifier.DefaultIterations)
	if err != nil {
		return "", config.Key{}, err
	}
	return secret, config.Key{ID: id, Verifier: verifier.String()}, nil
}

// RequestID returns a random id for a change.
func RequestID() string { return hex.EncodeToString(random(16)) }

// random returns n random bytes; crypto/rand.Read never fails.
func random(n int) []byte {
	b := make([]byte, n)
	rand.Read(b)
	return b
}
