package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"
)

// caller is one session of a consumer.
type caller struct {
	name string
	raw  net.Conn
	r    *bufio.Reader
}

func connect(name, address, database, key string) (*caller, error) {
	raw, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{name: name, raw: raw, r: bufio.NewReaderSize(raw, 64<<10)}
	raw.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(raw, "STARTUP %s %s\r\n", database, key)
	line, err := readLine(c.r)
	if err != nil || !strings.HasPrefix(line, "READY") {
		raw.Close()
		return nil, fmt.Errorf("startup: %q %v", line, err)
	}
	return c, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// result is the answer to a statement: the code of an error, or the signature, and the state.
type result struct {
	id, code, signature, state string
	rows, bytes                int
	sent                       time.Time
}

// query sends a statement with a new id and waits for the whole answer.
func (c *caller) query(text string, timeout time.Duration) (result, error) {
	res := result{id: newID(), sent: time.Now()}
	c.raw.SetDeadline(time.Now().Add(timeout))
	if _, err := c.raw.Write([]byte("QUERY " + res.id + " " + text + "\r\n")); err != nil {
		note(c.name, fmt.Sprintf("%s %s -> %v", res.id, clip(text), err))
		return res, err
	}
	for {
		line, err := readLine(c.r)
		if err != nil {
			note(c.name, fmt.Sprintf("%s %s -> %v", res.id, clip(text), err))
			return res, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			res.rows++
			res.bytes += len(rest)
		case "COMPLETE":
			res.signature = rest
		case "ERROR":
			res.code, _, _ = strings.Cut(rest, " ")
			if text := rest; text != "" {
				res.signature = text
			}
		case "READY":
			res.state, _, _ = strings.Cut(rest, " ")
			noteAt(res.sent, c.name, fmt.Sprintf("%s %s -> %s %.50s %s after %d ms", res.id, clip(text), res.code, res.signature, res.state, time.Since(res.sent).Milliseconds()))
			return res, nil
		}
	}
}

// isOpen reports whether the session still stands. Nothing may be received meanwhile.
func (c *caller) isOpen() bool {
	c.raw.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (c *caller) close() {
	if c != nil {
		fmt.Fprint(c.raw, "TERMINATE\r\n")
		c.raw.Close()
	}
}
