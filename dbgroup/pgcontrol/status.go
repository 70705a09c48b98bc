package pgcontrol

import (
	"fmt"
	"strconv"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// statusColumns is the number of columns that parseStatus expects.
const statusColumns = 7

// parseStatus parses the columns role, promised, last_term, term_start,
// received, applied and applied_term.
func parseStatus(row []string) (dbgroup.Status, error) {
	if len(row) != statusColumns {
		return dbgroup.Status{}, fmt.Errorf("%w: %d columns, want %d", ErrMalformed, len(row), statusColumns)
	}
	p := &rowParser{}
	status := dbgroup.Status{
		Role:        p.role(row[0]),
		Promised:    p.term(row[1]),
		LastTerm:    p.term(row[2]),
		TermStart:   p.position(row[3]),
		Received:    p.position(row[4]),
		Applied:     p.position(row[5]),
		AppliedTerm: p.term(row[6]),
	}
	if p.err != nil {
		return dbgroup.Status{}, p.err
	}
	return status, nil
}

// rowParser parses the columns of a row and keeps the first error.
type rowParser struct{ err error }

func (p *rowParser) fail(what, text string) {
	if p.err == nil {
		p.err = fmt.Errorf("%w: %s %q", ErrMalformed, what, text)
	}
}

func (p *rowParser) role(text string) dbgroup.Role {
	for _, role := range []dbgroup.Role{dbgroup.Replica, dbgroup.Primary, dbgroup.Fenced} {
		if role.String() == text {
			return role
		}
	}
	p.fail("role", text)
	return dbgroup.Replica
}

func (p *rowParser) term(text string) model.Term {
	term, err := model.ParseTerm(text)
	if err != nil {
		p.fail("term", text)
	}
	return term
}

func (p *rowParser) position(text string) model.LogPos {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		p.fail("position", text)
	}
	return model.LogPos(n)
}
