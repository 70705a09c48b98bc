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
	// maxCandidateKeys bounds the keys that one login is compared with.
	maxCandidateKeys = 8
	mockIterations   = 4096
	mockSaltLen      = 16
	nonceLen         = 18
)

var errWrongKey = errors.New("no valid key matches")

// splitUser separates "workspace#keyid". Without a key id, every key that has
// the salt of the workspace's newest key is accepted.
func splitUser(user string) (model.Workspace, model.KeyID) {
	workspace, key, _ := strings.Cut(user, "#")
	return model.Workspace(workspace), model.KeyID(key)
}

// scramExchange is one SCRAM exchange. SCRAM tells the salt before the proof, and
// names no key, so it compares the proof with all keys of the same salt.
type scramExchange struct {
	keys          []Key
	conversations []*scram.ServerConversation
}

// newSCRAMExchange starts an exchange with the keys that the caller may use. For a
// workspace without such a key it uses a verifier that no proof matches.
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

// candidateKeys returns the keys that share the salt and the iterations of the
// first one that the caller may use.
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

// mockKey returns a verifier with a salt that stays the same for the
// workspace, as that of a real one does.
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

// clientFirst answers the client's first message.
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

// clientFinal checks the proof and returns the key that it matches.
func (x *scramExchange) clientFinal(message string) (answer string, id model.KeyID, err error) {
	for i, conversation := range x.conversations {
		answer, err := conversation.Step(message)
		if err == nil && conversation.Valid() {
			return answer, x.keys[i].ID, nil
		}
	}
	return "", "", errWrongKey
}
