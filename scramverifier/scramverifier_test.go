package scramverifier

import (
	"errors"
	"strings"
	"testing"

	"github.com/xdg-go/scram"
)

// Guards against a verifier with which a SCRAM server refuses the right key or
// accepts a wrong one.
func TestVerifierAuthenticatesItsKeyOnly(t *testing.T) {
	made, err := New("correct-key", []byte("0123456789abcdef"), DefaultIterations)
	if err != nil {
		t.Fatal(err)
	}
	v, err := Parse(made.String())
	if err != nil || v.String() != made.String() {
		t.Fatalf("Parse: %v, %v", v, err)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return v.Credentials(), nil })
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]bool{"correct-key": true, "other-key": false} {
		client, err := scram.SHA256.NewClient("", key, "")
		if err != nil {
			t.Fatal(err)
		}
		if got := converse(client.NewConversation(), server.NewConversation()); got != want {
			t.Errorf("key %q accepted = %v, want %v", key, got, want)
		}
	}
}

func converse(c *scram.ClientConversation, s *scram.ServerConversation) bool {
	message := ""
	var err error
	for !s.Done() && err == nil {
		if message, err = c.Step(message); err == nil {
			message, err = s.Step(message)
		}
	}
	return s.Valid()
}

// Guards against accepting a verifier that no key can match, and against error
// messages that contain a part of it.
func TestParseRefusesMalformedText(t *testing.T) {
	v, err := New("key", []byte("0123456789abcdef"), DefaultIterations)
	if err != nil {
		t.Fatal(err)
	}
	good := v.String()
	for _, text := range []string{
		"",
		"md5abc",
		"SCRAM-SHA-256$",
		strings.Replace(good, "4096", "1", 1),
		strings.Replace(good, "4096", "x", 1),
		strings.Replace(good, "4096:", "4096:!", 1),
		strings.Replace(good, ":", "", 1),
		good[:len(good)-8],
		good + "AAAA",
	} {
		_, err := Parse(text)
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("Parse(%q) = %v", text, err)
			continue
		}
		if strings.Contains(err.Error(), v.String()[len(prefix)+5:len(prefix)+20]) {
			t.Errorf("the error repeats the verifier: %v", err)
		}
	}
}
