// Package wire reads PostgreSQL version 3 messages as raw frames, so that the
// proxy forwards most of them without decoding.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// headerLen is the type byte and the length of a message.
	headerLen = 5
	// lengthLen is the length field, which counts itself.
	lengthLen = 4
	// startupMinLen is the smallest startup packet: length and code.
	startupMinLen = 8
	// maxKeptBuffer is the largest buffer that is kept after a large message.
	maxKeptBuffer = 16 << 10
)

// ErrMalformed reports a message whose length or content is invalid.
var ErrMalformed = errors.New("malformed message")

// ErrNoMemory reports that the buffer may not grow for a message.
var ErrNoMemory = errors.New("no memory for a large message")

// SizeError reports a message that is longer than allowed.
type SizeError struct {
	Size, Max int
}

// Error returns the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, e.Max)
}

// Frame is one encoded message with its type and length.
type Frame []byte

// Type returns the message's type byte.
func (f Frame) Type() byte { return f[0] }

// Body returns the message without type and length.
func (f Frame) Body() []byte { return f[headerLen:] }

// Reader reads frames. Its buffer grows only as bytes arrive, so that a length
// field alone reserves no memory.
type Reader struct {
	src     io.Reader
	buf     []byte
	initial int
	max     int
	r, w    int
	// reserve is asked before the buffer grows beyond keptSize, and told with
	// a negative number when it shrinks again; nil allows everything.
	reserve func(delta int) bool
}

// NewReader returns a Reader with a buffer of initial bytes that accepts
// messages of at most limit bytes.
func NewReader(src io.Reader, initial, limit int) *Reader {
	return &Reader{src: src, initial: initial, max: limit}
}

// SetMax changes the largest message that is accepted.
func (r *Reader) SetMax(limit int) { r.max = limit }

// SetReserve makes the reader ask before its buffer grows large.
func (r *Reader) SetReserve(reserve func(delta int) bool) { r.reserve = reserve }

// SetSource replaces the source, for example after a TLS handshake. No bytes
// may be buffered.
func (r *Reader) SetSource(src io.Reader) { r.src = src }

// Buffered returns the number of bytes that were read but not returned.
func (r *Reader) Buffered() int { return r.w - r.r }

// Release frees the buffer if it is empty.
func (r *Reader) Release() {
	if r.r == r.w {
		// Only growth can fail.
		_ = r.resize(0)
		r.r, r.w = 0, 0
	}
}

// Reset drops the buffered bytes and frees the buffer.
func (r *Reader) Reset() {
	r.r = r.w
	r.Release()
}

// resize replaces the buffer by one of the given size, 0 for none, and keeps
// the buffered bytes.
func (r *Reader) resize(size int) error {
	delta := max(size-maxKeptBuffer, 0) - max(len(r.buf)-maxKeptBuffer, 0)
	if r.reserve != nil && delta != 0 && !r.reserve(delta) {
		return ErrNoMemory
	}
	var buf []byte
	if size > 0 {
		buf = make([]byte, size)
	}
	r.w = copy(buf, r.buf[r.r:r.w])
	r.r = 0
	r.buf = buf
	return nil
}

// Next returns the next message. The frame is valid until the next call. After
// a timeout of the source, Next may be called again and loses no byte.
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

// Wait returns when at least one byte is buffered.
func (r *Reader) Wait() error { return r.fill(1) }

// Skip discards the message that Next refused with a SizeError, and returns
// its type. It needs no memory beyond the buffer.
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

// HasFrame reports whether Next returns without reading from the source.
func (r *Reader) HasFrame() bool {
	buffered := r.w - r.r
	if buffered < headerLen {
		return false
	}
	size := int(binary.BigEndian.Uint32(r.buf[r.r+1:]))
	return buffered >= size+1
}

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

// fill reads until n bytes are buffered.
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

// readError turns an end of the stream inside a message into
// io.ErrUnexpectedEOF.
func (r *Reader) readError(err error) error {
	if errors.Is(err, io.EOF) && r.w > r.r {
		return io.ErrUnexpectedEOF
	}
	return err
}

// makeRoom provides space behind the buffered bytes. The buffer at most
// doubles, and only when it is full.
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

// Split returns the first frame of messages and the rest.
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

// CString returns the zero-terminated string at the start of body, and the
// rest behind the terminator.
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
