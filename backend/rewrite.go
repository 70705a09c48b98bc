package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/executor"
)

const (
	// statementPrefix is the prefix of server-side names of prepared statements.
	statementPrefix = "ch_"
	// statementHashLen is the number of bytes of the hash that a server-side name
	// contains in hexadecimal.
	statementHashLen = 16
	// missingStatement is the name of a statement that is never prepared. Closing
	// a statement that does not exist is not an error in the protocol, so a Close
	// for this name yields a CloseComplete at the position in the stream where
	// the caller expects a ParseComplete or CloseComplete.
	missingStatement = "ch_missing"
)

// expectedReply is a ParseComplete or CloseComplete that the upstream has to send.
type expectedReply struct {
	// forwardAs is the type of the message that is sent to the caller in its
	// place, 0 for none.
	forwardAs byte
	// statement is the server-side name of the statement that the reply confirms
	// as prepared, "" for none.
	statement string
}

// Batch is a caller's batch of messages, rewritten for one connection.
type Batch struct {
	// Messages are the encoded messages to send.
	Messages  []byte
	conn      *Conn
	id        uint64
	evictions []byte
	replies   []expectedReply
	// repliesTaken is the number of replies that Reply has returned or
	// SkipReplies has skipped.
	repliesTaken int
	// serverNames maps the caller's statement names to server-side names.
	serverNames map[string]string
	prepared    []executor.Prepared
	// pending has the server-side names of the statements that this batch parses.
	pending map[string]bool
	// inExtendedQuery is true after an extended-query message until the next Sync.
	inExtendedQuery  bool
	reusedStatements bool
}

// maxKeptMessages is the largest message buffer, in bytes, that a connection
// reuses for its next batch.
const maxKeptMessages = 4 << 10

// Rewrite translates a caller's batch for this connection. It replaces the
// caller's statement names by server-side names, which are derived from the
// statement's content, and inserts a Parse for each statement that is not yet
// prepared on the connection. The result is valid until the next call.
func (c *Conn) Rewrite(messages []byte, prepared []executor.Prepared) (*Batch, error) {
	c.batchCount++
	b := &c.batch
	b.reset()
	b.conn, b.id, b.prepared = c, c.batchCount, prepared
	for len(messages) > 0 {
		frame, rest, err := wire.Split(messages)
		if err != nil {
			return nil, err
		}
		if err := b.rewrite(frame); err != nil {
			return nil, err
		}
		messages = rest
	}
	if len(b.evictions) > 0 {
		// Evictions come first, because after an error the upstream ignores
		// messages up to the next Sync.
		b.Messages = append(b.evictions, b.Messages...)
	}
	return b, nil
}

// reset empties the batch. It keeps allocated memory for reuse, except for a
// message buffer above maxKeptMessages.
func (b *Batch) reset() {
	messages, replies := b.Messages[:0], b.replies[:0]
	if cap(messages) > maxKeptMessages {
		messages = nil
	}
	clear(b.serverNames)
	clear(b.pending)
	*b = Batch{Messages: messages, replies: replies, serverNames: b.serverNames, pending: b.pending}
}

// ReusedStatements reports whether the batch uses a statement without parsing it
// again.
func (b *Batch) ReusedStatements() bool { return b.reusedStatements }

// Reply has to be called for each ParseComplete and CloseComplete of the upstream.
// It returns the type of the message to send to the caller in its place, 0 for
// none.
func (b *Batch) Reply() (forwardAs byte, err error) {
	if b.repliesTaken == len(b.replies) {
		return 0, ErrUnexpected
	}
	next := b.replies[b.repliesTaken]
	b.repliesTaken++
	if next.statement != "" {
		b.conn.statementCache.add(next.statement, b.id)
	}
	return next.forwardAs, nil
}

// SkipReplies has to be called after an ErrorResponse: the upstream sends no
// replies for the rest of the batch.
func (b *Batch) SkipReplies() { b.repliesTaken = len(b.replies) }

// rewrite appends the translation of one message.
func (b *Batch) rewrite(frame wire.Frame) error {
	switch frame.Type() {
	case wire.Parse:
		return b.parse(frame)
	case wire.Bind:
		return b.bind(frame)
	case wire.Describe:
		return b.describe(frame)
	case wire.Close:
		return b.close(frame)
	case wire.Execute:
		b.inExtendedQuery = true
	case wire.Sync:
		b.inExtendedQuery = false
	case wire.Query:
		if b.inExtendedQuery {
			return fmt.Errorf("%w: simple query inside an extended query", wire.ErrMalformed)
		}
		b.setServerName("", missingStatement)
	default:
		return fmt.Errorf("%w: type %q in a batch", wire.ErrMalformed, frame.Type())
	}
	b.Messages = append(b.Messages, frame...)
	return nil
}

// parse translates a Parse. The unnamed statement is passed on unchanged.
func (b *Batch) parse(frame wire.Frame) error {
	b.inExtendedQuery = true
	name, content, err := wire.CString(frame.Body())
	if err != nil {
		return err
	}
	if len(name) == 0 {
		b.setServerName("", "")
		b.Messages = append(b.Messages, frame...)
		b.replies = append(b.replies, expectedReply{forwardAs: wire.ParseComplete})
		return nil
	}
	b.setServerName(string(name), b.ensurePrepared(content, wire.ParseComplete))
	return nil
}

// ensurePrepared returns the server-side name of the statement with the given
// content and appends a Parse if it is not yet prepared on the connection. The
// caller gets a message of type forwardAs in return, 0 for none.
func (b *Batch) ensurePrepared(content []byte, forwardAs byte) string {
	server := serverName(content)
	if b.conn.statementCache.touch(server, b.id) || b.pending[server] {
		b.reusedStatements = true
		if forwardAs != 0 {
			b.appendClose(missingStatement, forwardAs)
		}
		return server
	}
	if victim, ok := b.conn.statementCache.evict(len(b.pending)+1, b.id); ok {
		b.evictions = wire.AppendMessage(b.evictions, wire.Close, []byte{'S'}, []byte(victim), []byte{0})
		b.replies = append([]expectedReply{{}}, b.replies...)
	}
	if b.pending == nil {
		b.pending = map[string]bool{}
	}
	b.pending[server] = true
	b.Messages = wire.AppendMessage(b.Messages, wire.Parse, []byte(server), []byte{0}, content)
	b.replies = append(b.replies, expectedReply{forwardAs: forwardAs, statement: server})
	return server
}

// bind translates the statement name in a Bind.
func (b *Batch) bind(frame wire.Frame) error {
	b.inExtendedQuery = true
	portal, rest, err := wire.CString(frame.Body())
	if err != nil {
		return err
	}
	name, rest, err := wire.CString(rest)
	if err != nil {
		return err
	}
	server, err := b.resolve(name)
	if err != nil {
		return err
	}
	b.Messages = wire.AppendMessage(b.Messages, wire.Bind, portal, []byte{0}, []byte(server), []byte{0}, rest)
	return nil
}

// describe translates the statement name in a Describe. A Describe of a portal is
// passed on unchanged.
func (b *Batch) describe(frame wire.Frame) error {
	b.inExtendedQuery = true
	body := frame.Body()
	if len(body) == 0 || body[0] != 'S' {
		b.Messages = append(b.Messages, frame...)
		return nil
	}
	name, _, err := wire.CString(body[1:])
	if err != nil {
		return err
	}
	server, err := b.resolve(name)
	if err != nil {
		return err
	}
	b.Messages = wire.AppendMessage(b.Messages, wire.Describe, body[:1], []byte(server), []byte{0})
	return nil
}

// close translates a Close. A statement stays prepared on the connection, because
// other callers may use one with the same content; the caller gets its
// CloseComplete by way of missingStatement.
func (b *Batch) close(frame wire.Frame) error {
	b.inExtendedQuery = true
	body := frame.Body()
	if len(body) == 0 || body[0] != 'S' {
		b.Messages = append(b.Messages, frame...)
		b.replies = append(b.replies, expectedReply{forwardAs: wire.CloseComplete})
		return nil
	}
	name, _, err := wire.CString(body[1:])
	if err != nil {
		return err
	}
	b.setServerName(string(name), missingStatement)
	b.appendClose(missingStatement, wire.CloseComplete)
	return nil
}

// appendClose appends a Close of a statement. The caller gets a message of type
// forwardAs for its CloseComplete.
func (b *Batch) appendClose(name string, forwardAs byte) {
	b.Messages = wire.AppendMessage(b.Messages, wire.Close, []byte{'S'}, []byte(name), []byte{0})
	b.replies = append(b.replies, expectedReply{forwardAs: forwardAs})
}

// resolve returns the server-side name for a caller's statement name, and prepares
// the statement if necessary. A name that this caller has not prepared resolves to
// missingStatement, never to a statement of another caller.
func (b *Batch) resolve(name []byte) (string, error) {
	if server, ok := b.serverNames[string(name)]; ok {
		return server, nil
	}
	for _, p := range b.prepared {
		if p.Name != string(name) {
			continue
		}
		content, err := parseContent(p.Parse)
		if err != nil {
			return "", err
		}
		server := b.ensurePrepared(content, 0)
		b.setServerName(p.Name, server)
		return server, nil
	}
	return missingStatement, nil
}

func (b *Batch) setServerName(name, server string) {
	if b.serverNames == nil {
		b.serverNames = map[string]string{}
	}
	b.serverNames[name] = server
}

// parseContent returns the part of an encoded Parse message after the name: the
// query and the parameter types.
func parseContent(encoded []byte) ([]byte, error) {
	frame, rest, err := wire.Split(encoded)
	if err != nil || len(rest) > 0 || frame.Type() != wire.Parse {
		return nil, fmt.Errorf("%w: prepared statement", wire.ErrMalformed)
	}
	_, content, err := wire.CString(frame.Body())
	return content, err
}

// serverName derives the server-side name from a statement's query and parameter
// types.
func serverName(content []byte) string {
	sum := sha256.Sum256(content)
	var name [len(statementPrefix) + 2*statementHashLen]byte
	copy(name[:], statementPrefix)
	hex.Encode(name[len(statementPrefix):], sum[:statementHashLen])
	return string(name[:])
}
