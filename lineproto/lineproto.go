// Package lineproto is the codec of the line protocol: a message is a word and
// its fields on one line, separated by blanks and ended by CR LF. Callers and
// upstreams speak the same protocol.
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

// MaxMessage is the longest message in bytes that the protocol allows.
const MaxMessage = 1 << 20

// readBuffer is the buffer in bytes of a connection; most lines are shorter.
const readBuffer = 1 << 10

// Words that start a message.
const (
	Startup   = "STARTUP"
	Query     = "QUERY"
	Terminate = "TERMINATE"
	Ready     = "READY"
	Row       = "ROW"
	Complete  = "COMPLETE"
	Error     = "ERROR"
)

// NilValue is the id of statements that the proxy issues itself, and the
// signature and position where there is none.
const NilValue = "-"

// Errors of a Reader.
var (
	// ErrTooLong reports a message above MaxMessage.
	ErrTooLong = errors.New("message too long")
	// ErrSyntax reports a line that is not a message.
	ErrSyntax = errors.New("malformed message")
)

// TxState is the transaction state that a Ready message carries.
type TxState byte

// States of a session.
const (
	Idle      TxState = 'I'
	InTx      TxState = 'T'
	TxFailed  TxState = 'E'
	noTxState TxState = 0
)

// Message is one line. Rest has the fields, still separated by blanks.
type Message struct {
	Word string
	Rest string
}

// Reader reads messages.
type Reader struct {
	r *bufio.Reader
	// partial is the start of a message whose rest had not arrived when the
	// last Read ended, for example at a deadline.
	partial []byte
}

// NewReader returns a Reader over r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readBuffer)} }

// Buffered reports whether bytes have been received that no Read has returned.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 || len(r.partial) > 0 }

// Read returns the next message. After ErrTooLong or ErrSyntax the stream
// cannot be used further; after an error of the connection's deadline Read may
// be called again.
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

// line returns the next line with its end.
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

// Cut splits text at its first blank.
func Cut(text string) (first, rest string) {
	first, rest, _ = strings.Cut(text, " ")
	return first, rest
}

// Append adds a message with the given fields to b.
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
	// Position is that of the sender's log; it is zero when the sender has none.
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

// ParsePosition decodes "TERM.NUMBER"; "-" is the zero position.
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

// FormatPosition encodes a position as ParsePosition decodes it.
func FormatPosition(p model.Position) string {
	if p.IsZero() {
		return NilValue
	}
	return strconv.FormatUint(p.Term.Counter, 10) + "." + strconv.FormatUint(uint64(p.Pos), 10)
}
