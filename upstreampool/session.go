package upstreampool

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
)

// SessionState is what a session expects of its connection.
type SessionState struct {
	ID     uint64
	Values map[string]string
}

// Adopt makes the connection carry the values of a session, without what other
// sessions left.
func (c *Conn) Adopt(deadline time.Time, s *SessionState) error {
	statements, reset := c.missing(s)
	if len(statements) > 0 {
		answers, err := c.Pipeline(deadline, statements)
		if err != nil {
			return notSent(err)
		}
		for _, a := range answers {
			if a.Code != "" {
				return notSent(c.fail(false, fmt.Errorf("session values refused: %s %s", a.Code, a.Text)))
			}
		}
		c.adopted(s, reset)
	}
	c.session = s.ID
	return nil
}

// notSent marks an error as one before the caller's statement was sent.
func notSent(err error) error {
	var broken *BrokenError
	if errors.As(err, &broken) {
		broken.Sent = false
	}
	return err
}

// missing returns the statements that give the connection a session's values.
func (c *Conn) missing(s *SessionState) (statements [][2]string, reset bool) {
	for name := range c.values {
		if _, wanted := s.Values[name]; !wanted {
			reset = true
		}
	}
	if reset {
		statements = append(statements, [2]string{lineproto.NilValue, "RESET"})
	}
	for name, value := range s.Values {
		if held, found := c.values[name]; reset || !found || held != value {
			statements = append(statements, [2]string{lineproto.NilValue, "SET " + name + " " + value})
		}
	}
	return statements, reset
}

func (c *Conn) adopted(s *SessionState, reset bool) {
	if reset {
		clear(c.values)
		clear(c.prepared)
	}
	for name, value := range s.Values {
		c.values[name] = value
	}
}

// Prepare makes sure that a statement is prepared and returns its name on this
// connection.
func (c *Conn) Prepare(deadline time.Time, write bool, shapeName string) (string, error) {
	key := shape{write: write, name: shapeName}
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
		return "", notSent(err)
	}
	if a.Code != "" {
		return "", notSent(c.fail(false, fmt.Errorf("prepare refused: %s %s", a.Code, a.Text)))
	}
	c.prepared[key] = name
	return name, nil
}
