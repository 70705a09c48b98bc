package upstreampool

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
)

// SessionState is the state of a session that its connection must have: the
// values that the session has set.
type SessionState struct {
	ID     uint64
	Values map[string]string
}

// ApplySession sets the values of a session on the connection and resets those
// that other sessions left.
func (c *Conn) ApplySession(deadline time.Time, s *SessionState) error {
	statements, reset := c.sessionStatements(s)
	if len(statements) > 0 {
		answers, err := c.Pipeline(deadline, statements)
		if err != nil {
			return markNotSent(err)
		}
		for _, a := range answers {
			if a.Code != "" {
				return markNotSent(c.fail(false, fmt.Errorf("upstream refused the session values: %s %s", a.Code, a.Text)))
			}
		}
		c.recordSession(s, reset)
	}
	c.session = s.ID
	return nil
}

// markNotSent marks a connection's failure as one from before the caller's
// statement was sent.
func markNotSent(err error) error {
	var broken *BrokenError
	if errors.As(err, &broken) {
		broken.Sent = false
	}
	return err
}

// sessionStatements returns the statements that give the connection a session's
// values, and whether they begin with a reset.
func (c *Conn) sessionStatements(s *SessionState) (statements [][2]string, reset bool) {
	for name := range c.values {
		if _, wanted := s.Values[name]; !wanted {
			reset = true
		}
	}
	if reset {
		statements = append(statements, [2]string{lineproto.NilValue, "RESET"})
	}
	for name, value := range s.Values {
		if current, found := c.values[name]; reset || !found || current != value {
			statements = append(statements, [2]string{lineproto.NilValue, "SET " + name + " " + value})
		}
	}
	return statements, reset
}

func (c *Conn) recordSession(s *SessionState, reset bool) {
	if reset {
		clear(c.values)
		clear(c.prepared)
	}
	for name, value := range s.Values {
		c.values[name] = value
	}
}

// Prepare prepares a statement unless the connection has it already, and
// returns its name on this connection.
func (c *Conn) Prepare(deadline time.Time, write bool, shapeName string) (string, error) {
	key := preparedKey{write: write, name: shapeName}
	if name, found := c.prepared[key]; found {
		return name, nil
	}
	c.lastPrepared++
	name := "p" + strconv.Itoa(c.lastPrepared)
	kind := "READ"
	if write {
		kind = "WRITE"
	}
	a, err := c.Query(deadline, lineproto.NilValue, "PREPARE "+name+" "+kind+" "+shapeName)
	if err != nil {
		return "", markNotSent(err)
	}
	if a.Code != "" {
		return "", markNotSent(c.fail(false, fmt.Errorf("upstream refused to prepare the statement: %s %s", a.Code, a.Text)))
	}
	c.prepared[key] = name
	return name, nil
}
