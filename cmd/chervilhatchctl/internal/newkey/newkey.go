// Package newkey generates random workspace keys, their verifiers and request ids.
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
	// secretBytes is the length of a key before base64 encoding.
	secretBytes = 24
	idBytes     = 4
)

// New generates a random key. It returns the secret and the entry that the
// configuration stores, which has only a verifier. An empty id is replaced by a
// random one.
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

// random returns n random bytes. crypto/rand.Read never returns an error.
func random(n int) []byte {
	b := make([]byte, n)
	rand.Read(b)
	return b
}
