package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// consumer is a session of a consumer.
type consumer struct {
	name string
	conn net.Conn
	r    *bufio.Reader
	rec  *record
	next int
}

// answer is the answer to one query. code is empty after a success.
type answer struct {
	id        string
	rows      []string
	signature string
	code      string
	text      string
	state     string
	position  string
}

func connect(rec *record, name, address, database, key string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &consumer{name: name, conn: conn, r: bufio.NewReaderSize(conn, 4<<10), rec: rec}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err == nil {
		var line string
		line, err = c.r.ReadString('\n')
		if err == nil && !strings.HasPrefix(line, "READY ") {
			err = fmt.Errorf("startup: %s", strings.TrimSpace(line))
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends a query and waits for its complete answer. The error means that the
// connection ended or that the limit passed before that.
func (c *consumer) query(text string, limit time.Duration) (answer, error) {
	c.next++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.next)}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	c.rec.add("consumer %s sends %s", a.id, short(text))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		c.rec.add("consumer %s: connection ended: %v", a.id, err)
		return a, err
	}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			c.rec.add("consumer %s: no complete answer: %v", a.id, err)
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			c.rec.add("consumer %s gets rows %s signature %s error %s %s position %s",
				a.id, short(fmt.Sprint(a.rows)), a.signature, a.code, a.text, a.position)
			return a, nil
		}
	}
}
