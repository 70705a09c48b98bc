// Package lineproto encodes and decodes the line protocol. A message is one line
// that consists of a word, which is the message type, and the message's fields,
// separated by single spaces and terminated by CR LF. Callers and upstreams use
// the same protocol.
package lineproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// MaxMessage is the maximum length of a message in bytes, including CR LF.
const MaxMessage = 1 << 20

// readBuffer is the size in bytes of a Reader's buffer; most lines fit into it.
const readBuffer = 1 << 10

// Message types, the first word of a message.
const (
	Startup   = "STARTUP"
	Query     = "QUERY"
	Terminate = "TERMINATE"
	Ready     = "READY"
	Row       = "ROW"
	Complete  = "COMPLETE"
	Error     = "ERROR"
)

// NilValue stands for a field that has no value: the position or signature of an
// answer without one, the workspace of an anonymous caller, and the request id of
// statements that the proxy itself issues. Callers cannot use it as a request id.
const NilValue = "-"

// Errors of a Reader.
var (
	// ErrTooLong reports a message longer than MaxMessage.
	ErrTooLong = errors.New("message too long")
	// ErrSyntax reports a line that is not a valid message.
	ErrSyntax = errors.New("malformed message")
)

// TxState is the transaction state that a Ready message carries.
type TxState byte

// Transaction states of a session.
const (
	Idle      TxState = 'I'
	InTx      TxState = 'T'
	TxFailed  TxState = 'E'
	noTxState TxState = 0
)

// Message is a decoded line. Word is the message type, Rest the text of its fields,
// which are separated by spaces.
type Message struct {
	Word string
	Rest string
}

// Reader reads messages from a stream.
type Reader struct {
	r *bufio.Reader
	// partial is the beginning of a message that was incomplete when the last
	// Read failed, for example because its deadline passed.
	partial []byte
}

// NewReader returns a Reader over r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readBuffer)} }

// Buffered reports whether there are received bytes that Read has not returned yet.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 || len(r.partial) > 0 }

// Read returns the next message. After ErrTooLong or ErrSyntax the stream is
// unusable. After os.ErrDeadlineExceeded Read may be called again and continues
// with the message that was partly received.
func (r *Reader) Read() (Message, error) {
	line, err := r.line()
	if err != nil {
		return Message{}, err
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return Message{}, ErrSyntax
	}
	word, rest := Cut(string(line[:len(line)-2]))
	if word == "" {
		return Message{}, ErrSyntax
	}
	return Message{Word: word, Rest: rest}, nil
}

// line returns the next line including its terminator. The result is valid until
// the next call.
func (r *Reader) line() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if err == nil && len(r.partial) == 0 {
		return line, nil
	}
	for {
		if len(r.partial)+len(line) > MaxMessage {
			return nil, ErrTooLong
		}
		r.partial = append(r.partial, line...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			break
		}
		line, err = r.r.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	complete := r.partial
	r.partial = nil
	return complete, nil
}

// Cut splits text at its first space; without a space rest is empty.
func Cut(text string) (first, rest string) {
	first, rest, _ = strings.Cut(text, " ")
	return first, rest
}

// Append appends an encoded message with the given fields to b.
func Append(b []byte, word string, fields ...string) []byte {
	b = append(b, word...)
	for _, f := range fields {
		b = append(b, ' ')
		b = append(b, f...)
	}
	return append(b, '\r', '\n')
}

// ReadyInfo is the content of a Ready message.
type ReadyInfo struct {
	State TxState
	// Position is the position of the sender's log, zero if it sent none.
	Position model.Position
}

// ParseReady decodes the fields of a Ready message.
func ParseReady(rest string) (ReadyInfo, error) {
	state, position := Cut(rest)
	if len(state) != 1 || strings.IndexByte("ITE", state[0]) < 0 {
		return ReadyInfo{State: noTxState}, fmt.Errorf("%w: state %q", ErrSyntax, state)
	}
	p, err := ParsePosition(position)
	return ReadyInfo{State: TxState(state[0]), Position: p}, err
}

// ParsePosition decodes a position of the form "TERM.NUMBER". NilValue and the
// empty text are the zero position.
func ParsePosition(text string) (model.Position, error) {
	if text == NilValue || text == "" {
		return model.Position{}, nil
	}
	term, number, found := strings.Cut(text, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errNumber := strconv.ParseUint(number, 10, 64)
	if !found || errTerm != nil || errNumber != nil {
		return model.Position{}, fmt.Errorf("%w: position %q", ErrSyntax, text)
	}
	return model.Position{Term: model.Term{Counter: t}, Pos: model.LogPos(n)}, nil
}

// FormatPosition encodes a position in the form that ParsePosition decodes.
func FormatPosition(p model.Position) string {
	if p.IsZero() {
		return NilValue
	}
	return strconv.FormatUint(p.Term.Counter, 10) + "." + strconv.FormatUint(uint64(p.Pos), 10)
}
