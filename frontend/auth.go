package frontend

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"strings"

	"github.com/xdg-go/scram"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	scramSHA256 = "SCRAM-SHA-256"
	// maxCandidateKeys bounds the keys with which the proof of one login is
	// compared.
	maxCandidateKeys = 8
	mockIterations   = 4096
	mockSaltLen      = 16
	nonceLen         = 18
)

var errWrongKey = errors.New("no valid key matches")

// splitUser separates "workspace#keyid". Without a key ID, every key that has
// the salt and the iterations of the workspace's newest key is accepted.
func splitUser(user string) (model.Workspace, model.KeyID) {
	workspace, key, _ := strings.Cut(user, "#")
	return model.Workspace(workspace), model.KeyID(key)
}

// scramExchange is one SCRAM exchange. The client names no key, and SCRAM sends
// the salt before the client's proof, so the proof is compared with all keys
// that have the same salt.
type scramExchange struct {
	keys          []Key
	conversations []*scram.ServerConversation
}

// newSCRAMExchange starts an exchange with the keys that the caller may use. If
// there are none, it uses a mock key that no proof matches.
func (s *Server) newSCRAMExchange(access Access, w model.Workspace, k model.KeyID) (*scramExchange, error) {
	x := &scramExchange{keys: candidateKeys(access.Keys, k)}
	if len(x.keys) == 0 {
		x.keys = []Key{s.mockKey(w, k)}
	}
	nonce := string(encodeNonce(randomBytes(nonceLen)))
	for _, key := range x.keys {
		stored := storedCredentials(key.Verifier)
		server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
		if err != nil {
			return nil, err
		}
		server = server.WithNonceGenerator(func() string { return nonce })
		x.conversations = append(x.conversations, server.NewConversation())
	}
	return x, nil
}

// candidateKeys returns the keys that have the salt and the iterations of the
// first one that the caller may use, since one challenge serves all of them.
func candidateKeys(keys []Key, requestedKey model.KeyID) []Key {
	var selected []Key
	for _, key := range keys {
		if requestedKey != "" && key.ID != requestedKey {
			continue
		}
		if len(selected) > 0 && !sameChallenge(key.Verifier, selected[0].Verifier) {
			continue
		}
		selected = append(selected, key)
		if len(selected) == maxCandidateKeys {
			break
		}
	}
	return selected
}

func sameChallenge(a, b Verifier) bool {
	return a.Iterations == b.Iterations && string(a.Salt) == string(b.Salt)
}

func storedCredentials(v Verifier) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
		StoredKey:  v.StoredKey,
		ServerKey:  v.ServerKey,
	}
}

// mockKey returns a key with random secrets. Its salt is the same at each login
// with the same workspace and key ID, as that of a real key is, so that the
// salt does not show that the workspace or the key does not exist.
func (s *Server) mockKey(w model.Workspace, k model.KeyID) Key {
	mac := hmac.New(sha256.New, s.options.MockSecret)
	mac.Write([]byte(w + "#"))
	mac.Write([]byte(k))
	return Key{Verifier: Verifier{
		Salt:       mac.Sum(nil)[:mockSaltLen],
		Iterations: mockIterations,
		StoredKey:  randomBytes(sha256.Size),
		ServerKey:  randomBytes(sha256.Size),
	}}
}

// clientFirst answers the client-first message with the challenge.
func (x *scramExchange) clientFirst(message string) (string, error) {
	var challenge string
	for _, conversation := range x.conversations {
		var err error
		challenge, err = conversation.Step(message)
		if err != nil {
			return "", err
		}
	}
	return challenge, nil
}

// clientFinal checks the proof in the client-final message and returns the key
// that it matches.
func (x *scramExchange) clientFinal(message string) (answer string, id model.KeyID, err error) {
	for i, conversation := range x.conversations {
		answer, err := conversation.Step(message)
		if err == nil && conversation.Valid() {
			return answer, x.keys[i].ID, nil
		}
	}
	return "", "", errWrongKey
}
