// Package wire reads messages of the PostgreSQL protocol, version 3, as raw frames,
// so that the proxy can forward most of them without decoding.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// headerLen is the length of a message header: type byte and length field.
	headerLen = 5
	// lengthLen is the length of the length field, whose value includes itself.
	lengthLen = 4
	// startupMinLen is the length of the smallest startup packet: length field
	// and protocol version or request code.
	startupMinLen = 8
	// maxKeptBuffer is the buffer size, in bytes, above which memory is reserved
	// for a large message and released after it.
	maxKeptBuffer = 16 << 10
)

// ErrMalformed means that the length or the content of a message is invalid.
var ErrMalformed = errors.New("malformed message")

// ErrNoMemory means that the function set with SetReserve refused memory for a
// large message.
var ErrNoMemory = errors.New("no memory for a large message")

// SizeError means that a message exceeds the size limit.
type SizeError struct {
	Size, Max int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, e.Max)
}

// Frame is one encoded message including its type byte and length field.
type Frame []byte

// Type returns the type byte.
func (f Frame) Type() byte { return f[0] }

// Body returns the message without type byte and length field.
func (f Frame) Body() []byte { return f[headerLen:] }

// Reader reads frames from a stream. Its buffer grows only as data arrives, so that
// a peer cannot make it allocate memory by sending just a large length field.
type Reader struct {
	src     io.Reader
	buf     []byte
	initial int
	max     int
	// r and w are the offsets in buf of the first unread byte and of the end of
	// the data.
	r, w int
	// reserve is called with the number of bytes by which the part of the buffer
	// above maxKeptBuffer is about to grow, and with a negative number when that
	// part is about to shrink. If it returns false, the buffer does not grow. If
	// it is nil, growth is not limited.
	reserve func(delta int) bool
}

// NewReader returns a Reader whose buffer starts with initial bytes and that accepts
// messages of at most limit bytes. The buffer is allocated on the first read.
func NewReader(src io.Reader, initial, limit int) *Reader {
	return &Reader{src: src, initial: initial, max: limit}
}

// SetMax changes the maximum message size.
func (r *Reader) SetMax(limit int) { r.max = limit }

// SetReserve sets a function that limits the memory for large messages: it is called
// with the change in bytes before the buffer grows or shrinks, and returns whether
// growth is allowed.
func (r *Reader) SetReserve(reserve func(delta int) bool) { r.reserve = reserve }

// SetSource replaces the source, for example after a TLS handshake. The buffer must
// be empty.
func (r *Reader) SetSource(src io.Reader) { r.src = src }

// Buffered returns the number of bytes that were read from the source but not yet
// returned.
func (r *Reader) Buffered() int { return r.w - r.r }

// Release frees the buffer if it is empty.
func (r *Reader) Release() {
	if r.r == r.w {
		// Shrinking the buffer never fails.
		_ = r.resize(0)
		r.r, r.w = 0, 0
	}
}

// Reset discards buffered data and frees the buffer.
func (r *Reader) Reset() {
	r.r = r.w
	r.Release()
}

// resize replaces the buffer with one of the given size, 0 for none, and copies the
// buffered data.
func (r *Reader) resize(size int) error {
	delta := max(size-maxKeptBuffer, 0) - max(len(r.buf)-maxKeptBuffer, 0)
	if r.reserve != nil && delta != 0 && !r.reserve(delta) {
		return ErrNoMemory
	}
	var resized []byte
	if size > 0 {
		resized = make([]byte, size)
	}
	r.w = copy(resized, r.buf[r.r:r.w])
	r.r = 0
	r.buf = resized
	return nil
}

// Next returns the next message, which is valid until the next call. If the source
// times out, Next keeps the data read so far and may be called again.
func (r *Reader) Next() (Frame, error) {
	if err := r.fill(headerLen); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(r.buf[r.r+1:]))
	if size < lengthLen {
		return nil, fmt.Errorf("%w: length %d", ErrMalformed, size)
	}
	return r.take(size + 1)
}

// NextStartup returns the next startup packet, which has no type byte.
func (r *Reader) NextStartup() ([]byte, error) {
	if err := r.fill(lengthLen); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(r.buf[r.r:]))
	if size < startupMinLen {
		return nil, fmt.Errorf("%w: length %d", ErrMalformed, size)
	}
	return r.take(size)
}

// Wait blocks until at least one byte is buffered.
func (r *Reader) Wait() error { return r.fill(1) }

// Skip discards the message for which Next returned a SizeError, and returns its
// type. It does not grow the buffer.
func (r *Reader) Skip() (kind byte, err error) {
	kind = r.buf[r.r]
	remaining := int(binary.BigEndian.Uint32(r.buf[r.r+1:])) + 1
	for remaining > 0 {
		if err := r.fill(1); err != nil {
			return 0, err
		}
		n := min(remaining, r.w-r.r)
		r.r += n
		remaining -= n
	}
	return kind, nil
}

// HasFrame reports whether a complete message is buffered, so that Next returns
// without reading from the source.
func (r *Reader) HasFrame() bool {
	buffered := r.w - r.r
	if buffered < headerLen {
		return false
	}
	size := int(binary.BigEndian.Uint32(r.buf[r.r+1:]))
	return buffered >= size+1
}

// take returns the next size bytes, or a SizeError if they exceed the limit.
func (r *Reader) take(size int) ([]byte, error) {
	if size > r.max {
		return nil, &SizeError{Size: size, Max: r.max}
	}
	if err := r.fill(size); err != nil {
		return nil, err
	}
	frame := r.buf[r.r : r.r+size : r.r+size]
	r.r += size
	return frame, nil
}

// fill reads from the source until at least n bytes are buffered.
func (r *Reader) fill(n int) error {
	for r.w-r.r < n {
		if err := r.makeRoom(n); err != nil {
			return err
		}
		m, err := r.src.Read(r.buf[r.w:])
		r.w += m
		if err != nil && r.w-r.r < n {
			return r.readError(err)
		}
	}
	return nil
}

// readError returns io.ErrUnexpectedEOF in place of io.EOF if the stream ends inside
// a message.
func (r *Reader) readError(err error) error {
	if errors.Is(err, io.EOF) && r.w > r.r {
		return io.ErrUnexpectedEOF
	}
	return err
}

// makeRoom makes space in the buffer for reading more of a message of n bytes. It
// grows the buffer only when it is full, and at most doubles it. An empty buffer
// shrinks to its initial size after a large message.
func (r *Reader) makeRoom(n int) error {
	if r.buf == nil {
		r.buf = make([]byte, r.initial)
	}
	if r.r == r.w {
		r.r, r.w = 0, 0
		if len(r.buf) > max(r.initial, maxKeptBuffer) && n <= r.initial {
			return r.resize(r.initial)
		}
	}
	if len(r.buf)-r.r >= n || r.w < len(r.buf) {
		return nil
	}
	if r.r > 0 {
		r.w = copy(r.buf, r.buf[r.r:r.w])
		r.r = 0
		return nil
	}
	return r.resize(min(2*len(r.buf), max(n, r.initial)))
}

// Split returns the first of the encoded messages and the remaining ones.
func Split(messages []byte) (frame Frame, rest []byte, err error) {
	if len(messages) < headerLen {
		return nil, nil, ErrMalformed
	}
	size := int(binary.BigEndian.Uint32(messages[1:])) + 1
	if size < headerLen || size > len(messages) {
		return nil, nil, ErrMalformed
	}
	return messages[:size:size], messages[size:], nil
}

// CString returns the zero-terminated string at the start of body and the bytes
// after the terminator.
func CString(body []byte) (text, rest []byte, err error) {
	for i, c := range body {
		if c == 0 {
			return body[:i], body[i+1:], nil
		}
	}
	return nil, nil, ErrMalformed
}

// AppendMessage appends a message of the given type whose body is the
// concatenation of parts.
func AppendMessage(dst []byte, kind byte, parts ...[]byte) []byte {
	size := lengthLen
	for _, part := range parts {
		size += len(part)
	}
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(size))
	for _, part := range parts {
		dst = append(dst, part...)
	}
	return dst
}
