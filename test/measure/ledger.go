package main

import (
	"context"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/standin/upstream"
)

// ledger records the outcome of each write, to compare it with the rows in the
// databases after the run.
type ledger struct {
	mu sync.Mutex
	// outcomes holds the sample of each write, by database and row ID.
	outcomes map[string]map[string]sample
	// faults is the number of faults injected so far.
	faults int
}

func newLedger() *ledger { return &ledger{outcomes: map[string]map[string]sample{}} }

// record adds the writes among the samples of a load.
func (l *ledger) record(streams []stream, database func(model.Job) string, samples []sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range samples {
		if s.id == "" {
			continue
		}
		name := database(streams[s.stream].job)
		if l.outcomes[name] == nil {
			l.outcomes[name] = map[string]sample{}
		}
		l.outcomes[name][s.id] = s
	}
}

func (l *ledger) countFaults(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults += n
}

// audit is the result of comparing the ledger with the databases.
type audit struct {
	Acknowledged int `json:"acknowledged"`
	Unknown      int `json:"unknown"`
	Refused      int `json:"refused"`
	Lost         int `json:"lost"`
	Doubled      int `json:"doubled"`
	// FalselyRefused counts writes that were reported as not run but did run.
	FalselyRefused int `json:"falsely_refused"`
	Failures       int `json:"failures"`
	// Violations describes each lost, doubled or falsely refused write.
	Violations []string `json:"violations"`
}

// check compares the recorded outcomes with the rows on the current primaries.
func (l *ledger) check(ctx context.Context, groups map[string]*upstream.Group) (audit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := audit{Failures: l.faults}
	for name, outcomes := range l.outcomes {
		rows, err := ledgerRows(ctx, groups[name].Primary())
		if err != nil {
			return a, err
		}
		for id, s := range outcomes {
			if a.add(s.code, rows[id]) {
				a.Violations = append(a.Violations, fmt.Sprintf("%s %s: %d copies after %q, session %d on VM %d, sent %s, answered %s",
					name, id, rows[id], s.code, s.session, s.vm+1, s.sent, s.done))
			}
		}
	}
	return a, nil
}

// add counts one write, of which the database has a number of copies, and reports
// whether that contradicts the outcome.
func (a *audit) add(code string, copies int) bool {
	before := a.Lost + a.Doubled + a.FalselyRefused
	if copies > 1 {
		a.Doubled++
	}
	switch {
	case code == codeOK:
		a.Acknowledged++
		if copies == 0 {
			a.Lost++
		}
	case outcomeUnknown(code):
		a.Unknown++
	default:
		a.Refused++
		if copies > 0 {
			a.FalselyRefused++
		}
	}
	return a.Lost+a.Doubled+a.FalselyRefused > before
}

// codeUnknown is the SQLSTATE of a write whose outcome is unknown
// (transaction_resolution_unknown).
const codeUnknown = "08007"

// outcomeUnknown reports whether a write that ended with the code may have run.
func outcomeUnknown(code string) bool { return code == codeLost || code == codeUnknown }

func ledgerRows(ctx context.Context, primary *upstream.Server) (map[string]int, error) {
	conn, err := pgconn.Connect(ctx, directURL(primary))
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	results, err := conn.Exec(ctx, "SELECT id FROM ledger").ReadAll()
	if err != nil {
		return nil, err
	}
	rows := map[string]int{}
	for _, row := range results[0].Rows {
		rows[string(row[0])]++
	}
	return rows, nil
}
