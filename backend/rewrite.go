package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/executor"
)

const (
	// statementPrefix starts the server-side names of prepared statements.
	statementPrefix = "ch_"
	// statementHashLen is the number of hash bytes in a server-side name.
	statementHashLen = 16
	// missingStatement names a statement that no connection ever prepares. To
	// close it is not an error in the protocol, so its CloseComplete stands in
	// for an answer at the right place in the stream.
	missingStatement = "ch_missing"
)

// expectedReply is an expected ParseComplete or CloseComplete.
type expectedReply struct {
	// forwardAs is the type that the caller gets instead, 0 for none.
	forwardAs byte
	// statement is the statement that the reply confirms, "" for none.
	statement string
}

// Batch is a caller's batch rewritten for one connection.
type Batch struct {
	// Messages are the bytes to send.
	Messages  []byte
	conn      *Conn
	id        uint64
	evictions []byte
	replies   []expectedReply
	// repliesTaken is the number of replies that were taken.
	repliesTaken int
	// serverNames maps the caller's statement names to server-side names.
	serverNames map[string]string
	prepared    []executor.Prepared
	// pending are the statements parsed by this batch.
	pending map[string]bool
	// inExtendedQuery is true after an extended-query message that no Sync has followed yet.
	inExtendedQuery  bool
	reusedStatements bool
}

// maxKeptMessages is the size up to which a connection keeps the buffer of a
// batch for the next one.
const maxKeptMessages = 4 << 10

// Rewrite prepares a caller's batch for this connection: statement names
// become server-side names that are derived from the statement's content, and
// statements that the connection lacks are parsed first. The result is valid
// until the next call.
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
		// Evictions go first, where no error of the batch can skip them.
		b.Messages = append(b.evictions, b.Messages...)
	}
	return b, nil
}

// reset empties the batch and keeps its memory, unless that is large.
func (b *Batch) reset() {
	messages, replies := b.Messages[:0], b.replies[:0]
	if cap(messages) > maxKeptMessages {
		messages = nil
	}
	clear(b.serverNames)
	clear(b.pending)
	*b = Batch{Messages: messages, replies: replies, serverNames: b.serverNames, pending: b.pending}
}

// ReusedStatements reports whether the batch relied on statements that the
// connection had prepared before.
func (b *Batch) ReusedStatements() bool { return b.reusedStatements }

// Reply takes the next ParseComplete or CloseComplete of the upstream and
// returns the type of the message that the caller gets instead, 0 for none.
func (b *Batch) Reply() (emit byte, err error) {
	if b.repliesTaken == len(b.replies) {
		return 0, ErrUnexpected
	}
	next := b.replies[b.repliesTaken]
	b.repliesTaken++
	if next.statement != "" {
		b.conn.statements.add(next.statement, b.id)
	}
	return next.forwardAs, nil
}

// SkipReplies tells that the upstream skips the rest of the batch.
func (b *Batch) SkipReplies() { b.repliesTaken = len(b.replies) }

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

// ensurePrepared makes the statement available on the connection and returns its
// server-side name. The caller gets a message of type emit for it, 0 for none.
func (b *Batch) ensurePrepared(content []byte, emit byte) string {
	server := serverName(content)
	if b.conn.statements.touch(server, b.id) || b.pending[server] {
		b.reusedStatements = true
		if emit != 0 {
			b.appendClose(missingStatement, emit)
		}
		return server
	}
	if victim, ok := b.conn.statements.evict(len(b.pending)+1, b.id); ok {
		b.evictions = wire.AppendMessage(b.evictions, wire.Close, []byte{'S'}, []byte(victim), []byte{0})
		b.replies = append([]expectedReply{{}}, b.replies...)
	}
	if b.pending == nil {
		b.pending = map[string]bool{}
	}
	b.pending[server] = true
	b.Messages = wire.AppendMessage(b.Messages, wire.Parse, []byte(server), []byte{0}, content)
	b.replies = append(b.replies, expectedReply{forwardAs: emit, statement: server})
	return server
}

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

// close answers the caller's Close. A statement stays prepared on the
// connection, since other callers may use the same content.
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

func (b *Batch) appendClose(name string, emit byte) {
	b.Messages = wire.AppendMessage(b.Messages, wire.Close, []byte{'S'}, []byte(name), []byte{0})
	b.replies = append(b.replies, expectedReply{forwardAs: emit})
}

// resolve returns the server-side name of a statement that the batch uses. A
// statement that is not known never resolves to one of another caller.
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

// parseContent returns the part of a Parse message behind the name.
func parseContent(encoded []byte) ([]byte, error) {
	frame, rest, err := wire.Split(encoded)
	if err != nil || len(rest) > 0 || frame.Type() != wire.Parse {
		return nil, fmt.Errorf("%w: prepared statement", wire.ErrMalformed)
	}
	_, content, err := wire.CString(frame.Body())
	return content, err
}

// serverName derives the server-side name from the query and the parameter types.
func serverName(content []byte) string {
	sum := sha256.Sum256(content)
	var name [len(statementPrefix) + 2*statementHashLen]byte
	copy(name[:], statementPrefix)
	hex.Encode(name[len(statementPrefix):], sum[:statementHashLen])
	return string(name[:])
}
