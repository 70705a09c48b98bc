package upstream

import (
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
)

// entry is one committed write transaction. The first entry of each term has no
// statements; it marks the start of the term.
type entry struct {
	Term       model.Term
	Statements []store.Statement
}

// segment is a sequence of consecutive entries of a log that have the same term.
type segment struct {
	Term model.Term
	// Start and End are the positions of the first and last entry.
	Start, End model.LogPos
}

// replicationLog is the log of an upstream. The first entry has position 1.
type replicationLog struct {
	entries  []entry
	segments []segment
}

// end returns the position of the last entry.
func (l *replicationLog) end() model.LogPos { return model.LogPos(len(l.entries)) }

// last returns the last segment, or a zero segment if the log is empty.
func (l *replicationLog) last() segment {
	if len(l.segments) == 0 {
		return segment{}
	}
	return l.segments[len(l.segments)-1]
}

// position returns p together with the term of its entry.
func (l *replicationLog) position(p model.LogPos) model.Position {
	if p == 0 {
		return model.Position{}
	}
	return model.Position{Term: l.entries[p-1].Term, Pos: p}
}

func (l *replicationLog) append(e entry) {
	l.entries = append(l.entries, e)
	if l.last().Term == e.Term && len(l.segments) > 0 {
		l.segments[len(l.segments)-1].End = l.end()
		return
	}
	l.segments = append(l.segments, segment{Term: e.Term, Start: l.end(), End: l.end()})
}

// truncate discards the entries after end.
func (l *replicationLog) truncate(end model.LogPos) {
	// Copy the entries: later appends must not overwrite those that a stream is
	// still sending.
	l.entries = append([]entry(nil), l.entries[:end]...)
	kept := l.segments[:0:0]
	for _, s := range l.segments {
		if s.Start <= end {
			s.End = min(s.End, end)
			kept = append(kept, s)
		}
	}
	l.segments = kept
}

// after returns at most limit entries that follow position p.
func (l *replicationLog) after(p model.LogPos, limit int) []entry {
	end := min(len(l.entries), int(p)+limit)
	return l.entries[p:end:end]
}

// statements returns the statements of each entry.
func (l *replicationLog) statements() [][]store.Statement {
	list := make([][]store.Statement, len(l.entries))
	for i, e := range l.entries {
		list[i] = e.Statements
	}
	return list
}

// commonEnd returns the position of the last entry that two logs share. Entries
// with the same term and position are equal, because only one primary writes
// entries of a term.
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
