package upstream

import (
	"crypto/rand"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	// mechanism is the only SASL mechanism that is offered.
	mechanism = "SCRAM-SHA-256"
	// scramIterations is the number of iterations, PostgreSQL's default.
	scramIterations = 4096
	// saltBytes is the length of a salt, the same as in PostgreSQL.
	saltBytes = 16
)

// authenticator authenticates clients with one user name and password.
type authenticator struct {
	user string
	// server is nil if every client is accepted.
	server *scram.Server
	// err is the error of newAuthenticator, which fails all authentications.
	err error
}

// newAuthenticator returns an authenticator for one user. If password is empty,
// it accepts every client.
func newAuthenticator(user, password string) *authenticator {
	a := &authenticator{user: user}
	if password == "" {
		return a
	}
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		a.err = err
		return a
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{
		Salt:  string(salt),
		Iters: scramIterations,
	})
	if err != nil {
		a.err = err
		return a
	}
	// PostgreSQL clients leave the SCRAM user name empty. authenticate checks
	// the one of the startup message instead.
	lookup := func(string) (scram.StoredCredentials, error) { return stored, nil }
	a.server, a.err = scram.SHA256.NewServer(lookup)
	return a
}

// authenticate runs the SCRAM exchange. It does not send the final
// AuthenticationOk.
func (a *authenticator) authenticate(backend *pgproto3.Backend, user string) *pgError {
	if a.err != nil {
		return &pgError{codeInternal, a.err.Error()}
	}
	if a.server == nil {
		return nil
	}
	refused := &pgError{codeWrongPassword, "password authentication failed for user \"" + user + "\""}
	conversation := a.server.NewConversation()
	backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, ok := exchange(backend, pgproto3.AuthTypeSASL).(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != mechanism {
		return refused
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return refused
	}
	backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	second, ok := exchange(backend, pgproto3.AuthTypeSASLContinue).(*pgproto3.SASLResponse)
	if !ok {
		return refused
	}
	final, err := conversation.Step(string(second.Data))
	if err != nil || !conversation.Valid() || user != a.user {
		return refused
	}
	backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

// exchange flushes the sent messages and returns the client's response, or nil
// after an error.
func exchange(backend *pgproto3.Backend, authType uint32) pgproto3.FrontendMessage {
	if backend.Flush() != nil || backend.SetAuthType(authType) != nil {
		return nil
	}
	message, err := backend.Receive()
	if err != nil {
		return nil
	}
	return message
}
