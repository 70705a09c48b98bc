// Package scramverifier creates and parses SCRAM-SHA-256 verifiers in
// PostgreSQL's text form, "SCRAM-SHA-256$iterations:salt$storedkey:serverkey".
// A key can be checked against its verifier but not recovered from it.
package scramverifier

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

// Limits of a verifier.
const (
	// DefaultIterations is PostgreSQL's default and the smallest accepted
	// number.
	DefaultIterations = 4096
	// MaxIterations bounds the work of a caller that computes its proof.
	MaxIterations = 1_000_000
	// SaltBytes is the length of the salt of a new verifier, as in PostgreSQL.
	SaltBytes = 16

	minSaltBytes = 8
	prefix       = "SCRAM-SHA-256$"
)

// ErrMalformed reports text that is not a valid verifier. Its message never
// contains any part of the text.
var ErrMalformed = errors.New("malformed SCRAM-SHA-256 verifier")

// Verifier is a parsed verifier.
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

// New returns the verifier of a key. The salt has to be random.
func New(key string, salt []byte, iterations int) (Verifier, error) {
	if iterations < DefaultIterations || iterations > MaxIterations || len(salt) < minSaltBytes {
		return Verifier{}, fmt.Errorf("%w: iterations or salt out of range", ErrMalformed)
	}
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		return Verifier{}, fmt.Errorf("prepare key: %w", err)
	}
	factors := scram.KeyFactors{Salt: string(salt), Iters: iterations}
	stored, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return Verifier{}, fmt.Errorf("derive verifier: %w", err)
	}
	return Verifier{
		Iterations: iterations,
		Salt:       salt,
		StoredKey:  stored.StoredKey,
		ServerKey:  stored.ServerKey,
	}, nil
}

// String returns PostgreSQL's text form.
func (v Verifier) String() string {
	b64 := base64.StdEncoding.EncodeToString
	return prefix + strconv.Itoa(v.Iterations) + ":" + b64(v.Salt) +
		"$" + b64(v.StoredKey) + ":" + b64(v.ServerKey)
}

// Credentials returns v in the form that a SCRAM server of package scram takes.
func (v Verifier) Credentials() scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
		StoredKey:  v.StoredKey,
		ServerKey:  v.ServerKey,
	}
}

// Parse parses PostgreSQL's text form and checks every part of it.
func Parse(text string) (Verifier, error) {
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return Verifier{}, fmt.Errorf("%w: it does not start with %q", ErrMalformed, prefix)
	}
	factors, keys, ok := strings.Cut(rest, "$")
	iterations, salt, okFactors := strings.Cut(factors, ":")
	stored, server, okKeys := strings.Cut(keys, ":")
	if !ok || !okFactors || !okKeys {
		return Verifier{}, fmt.Errorf("%w: a part is missing", ErrMalformed)
	}
	return parseParts(iterations, salt, stored, server)
}

func parseParts(iterations, salt, stored, server string) (Verifier, error) {
	var v Verifier
	var err error
	v.Iterations, err = strconv.Atoi(iterations)
	if err != nil || v.Iterations < DefaultIterations || v.Iterations > MaxIterations {
		return Verifier{}, fmt.Errorf("%w: the iterations must be %d to %d",
			ErrMalformed, DefaultIterations, MaxIterations)
	}
	v.Salt, err = base64.StdEncoding.DecodeString(salt)
	if err != nil || len(v.Salt) < minSaltBytes {
		return Verifier{}, fmt.Errorf("%w: the salt must be base64 of at least %d bytes", ErrMalformed, minSaltBytes)
	}
	v.StoredKey, err = decodeKey(stored)
	if err != nil {
		return Verifier{}, err
	}
	v.ServerKey, err = decodeKey(server)
	if err != nil {
		return Verifier{}, err
	}
	return v, nil
}

func decodeKey(text string) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != sha256.Size {
		return nil, fmt.Errorf("%w: the stored key and the server key must be base64 of %d bytes",
			ErrMalformed, sha256.Size)
	}
	return key, nil
}
