package upstream

import (
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
)

// entry is one committed write transaction. The first entry of a term has no
// statements.
type entry struct {
	Term       model.Term
	Statements []store.Statement
}

// segment is the run of a log's entries that have the same term.
type segment struct {
	Term model.Term
	// Start and End are the positions of the first and last entry.
	Start, End model.LogPos
}

// journal is an upstream's log. Positions count from 1.
type journal struct {
	entries  []entry
	segments []segment
}

// end returns the position of the last entry.
func (j *journal) end() model.LogPos { return model.LogPos(len(j.entries)) }

// last returns the last segment, which is zero for an empty log.
func (j *journal) last() segment {
	if len(j.segments) == 0 {
		return segment{}
	}
	return j.segments[len(j.segments)-1]
}

// position returns the position p with the term of its entry.
func (j *journal) position(p model.LogPos) model.Position {
	if p == 0 {
		return model.Position{}
	}
	return model.Position{Term: j.entries[p-1].Term, Pos: p}
}

func (j *journal) append(e entry) {
	j.entries = append(j.entries, e)
	if j.last().Term == e.Term && len(j.segments) > 0 {
		j.segments[len(j.segments)-1].End = j.end()
		return
	}
	j.segments = append(j.segments, segment{Term: e.Term, Start: j.end(), End: j.end()})
}

// truncate discards the entries after end.
func (j *journal) truncate(end model.LogPos) {
	// The copy keeps entries that are being sent from being overwritten.
	j.entries = append([]entry(nil), j.entries[:end]...)
	kept := j.segments[:0:0]
	for _, s := range j.segments {
		if s.Start <= end {
			s.End = min(s.End, end)
			kept = append(kept, s)
		}
	}
	j.segments = kept
}

// after returns up to limit entries that follow position p.
func (j *journal) after(p model.LogPos, limit int) []entry {
	end := min(len(j.entries), int(p)+limit)
	return j.entries[p:end:end]
}

// statements returns the statements of all entries.
func (j *journal) statements() [][]store.Statement {
	list := make([][]store.Statement, len(j.entries))
	for i, e := range j.entries {
		list[i] = e.Statements
	}
	return list
}

// commonEnd returns the position of the last entry that two logs share. Only
// one primary writes entries of a term, so entries with the same term and
// position are the same.
func commonEnd(a, b []segment) model.LogPos {
	var common model.LogPos
	for i := 0; i < len(a) && i < len(b); i++ {
		if a[i].Term != b[i].Term || a[i].Start != b[i].Start {
			return common
		}
		common = min(a[i].End, b[i].End)
		if a[i].End != b[i].End {
			return common
		}
	}
	return common
}
