package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// settleTime is how long after the end of a window its sums are complete: a
	// statement that began in it is counted with its answer, the count reaches the hubs
	// of its zone with the next poll, and the holder with another one.
	settleTime = 1500 * time.Millisecond
	// reportMargin is how long before its due time a window is recorded in any case, so
	// that the record and a few calls to the platform have time.
	reportMargin = 3 * time.Second
	// retryDelay is the pause after a call to the store or the platform without success.
	retryDelay = 300 * time.Millisecond
	// maxDeletes limits the old records that are deleted with a new one, since the store
	// limits the entries of a transaction.
	maxDeletes = 8
)

// Record is a window's report as it is kept in the store. It never changes, and a report
// is sent only once its record is certain to be in the store.
type Record struct {
	Window Window                     `json:"window"`
	Counts map[model.Workspace]uint64 `json:"counts"`
	// Generation is that of the store when the record was written.
	Generation int64 `json:"generation"`
}

// Acquisition is what the VM that has acquired the duty knows.
type Acquisition struct {
	// Token is the fencing token of all its reports. No other holder ever has it.
	Token uint64
	// Now is the true time.
	Now WallTime
	// Stored are the records in the store, read after the acquisition.
	Stored []Record
	// Unreadable are windows whose record in the store cannot be decoded.
	Unreadable []Window
	// Generation is that of the store. Unless the newest record was written in it, the
	// store may have lost newer ones, and windows that have ended may have been reported.
	Generation int64
}

// EffectKind is what an effect asks for.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectRecord asks to write Record if no record of the window exists, on the
	// condition that this VM still holds the duty, and to delete those of Delete.
	// ReportRecorded is the answer.
	EffectRecord EffectKind = iota
	// EffectRead asks for the record of a window, whose write was not answered.
	// ReportRead is the answer.
	EffectRead
	// EffectSend asks to send Record to the platform. ReportSent is the answer.
	EffectSend
	// EffectGiveUp tells that the windows from Window to Through are not reported.
	EffectGiveUp
)

// Effect asks the caller for an action.
type Effect struct {
	Kind    EffectKind
	Record  Record
	Window  Window
	Through Window
	Delete  []Window
	Token   uint64
	// Cause is why windows are given up.
	Cause string
}

// RecordOutcome is the outcome of EffectRecord.
type RecordOutcome uint8

// Outcomes of EffectRecord.
const (
	// RecordWritten: the store has confirmed the record.
	RecordWritten RecordOutcome = iota
	// RecordRejected: nothing was written.
	RecordRejected
	// RecordExists: the store has a record of the window already.
	RecordExists
	// RecordUnknown: there was no answer.
	RecordUnknown
	// RecordNotHolder: another VM may hold the duty.
	RecordNotHolder
)

// String returns a word for logs.
func (o RecordOutcome) String() string {
	switch o {
	case RecordWritten:
		return "written"
	case RecordRejected:
		return "rejected"
	case RecordExists:
		return "exists"
	case RecordNotHolder:
		return "not the holder"
	}
	return "unknown"
}

// SendOutcome is the outcome of EffectSend.
type SendOutcome uint8

// Outcomes of EffectSend.
const (
	// SendAccepted: the platform has taken the report.
	SendAccepted SendOutcome = iota
	// SendRefused: a higher token was used, so that another VM holds the duty.
	SendRefused
	// SendFailed: the report was rejected, or there was no answer. It is sent again.
	SendFailed
)

// String returns a word for logs.
func (o SendOutcome) String() string {
	switch o {
	case SendAccepted:
		return "accepted"
	case SendRefused:
		return "refused"
	}
	return "failed"
}

type phase uint8

const (
	phaseRecording phase = iota
	// phaseUnknown: the record may be in the store.
	phaseUnknown
	phaseRecorded
	phaseAccepted
	phaseGivenUp
)

// report is a window whose counts are fixed.
type report struct {
	record Record
	phase  phase
	// busy is true while an effect of this window is not answered.
	busy bool
	// retryAt is when the next effect may follow.
	retryAt WallTime
}

// Reporter decides what the holder of the duty does about each window.
//
// Windows are taken in order. The counts of a window are fixed in a record in the store
// before they are sent, by a transaction that requires that no record of the window
// exists and that the VM holds the duty; then the record is sent until the platform
// answers. Only windows after the newest recorded one are recorded, and that record is
// never deleted, so that no clock error makes a holder report a window anew.
type Reporter struct {
	settings Settings
	holding  bool
	// refused is true once the platform has refused the token, until the next
	// acquisition.
	refused    bool
	token      uint64
	generation int64
	// next is the window that is recorded next.
	next Window
	// reports are the windows that this VM has fixed counts for or read records of.
	reports map[Window]*report
	// stored are the windows with a record in the store.
	stored map[Window]bool
}

// NewReporter returns the reporter of a VM that does not hold the duty.
func NewReporter(s Settings) *Reporter {
	return &Reporter{settings: s, reports: map[Window]*report{}, stored: map[Window]bool{}}
}

// Holding reports whether this VM reports windows.
func (r *Reporter) Holding() bool { return r.holding && !r.refused }

// Lose ends the role of the holder. Answers to earlier effects are ignored from now on.
func (r *Reporter) Lose() { r.holding = false }

// Acquire begins the role of the holder. It returns the windows that have to be given up.
func (r *Reporter) Acquire(a Acquisition) []Effect {
	r.holding, r.refused, r.token, r.generation = true, false, a.Token, a.Generation
	oldest := r.settings.Oldest(a.Now)
	r.stored = map[Window]bool{}
	for w, known := range r.reports {
		// An unanswered write of an earlier hold can no longer succeed; if it has, the
		// record is among those in the store.
		if known.busy = false; known.phase < phaseRecorded {
			delete(r.reports, w)
		}
	}
	var effects []Effect
	newest, complete := Window(-1), false
	for i := range a.Stored {
		record := a.Stored[i]
		r.stored[record.Window] = true
		if record.Window > newest {
			newest, complete = record.Window, record.Generation == a.Generation
		}
		known := r.reports[record.Window]
		switch {
		case record.Window < oldest:
		case known == nil:
			r.reports[record.Window] = &report{record: record, phase: phaseRecorded}
		case !maps.Equal(known.record.Counts, record.Counts) && known.phase != phaseGivenUp:
			known.phase = phaseGivenUp
			effects = append(effects, giveUp(record.Window, record.Window, "the store has another record of the window"))
		}
	}
	for _, w := range a.Unreadable {
		r.stored[w] = true
		if w > newest {
			newest, complete = w, false
		}
		if r.reports[w] == nil && w >= oldest {
			r.reports[w] = &report{record: Record{Window: w}, phase: phaseGivenUp}
			effects = append(effects, giveUp(w, w, causeUnreadable))
		}
	}
	for w := range r.reports {
		newest = max(newest, w)
	}
	next := newest + 1
	if !complete {
		next = max(next, r.next, r.settings.At(a.Now))
		if newest >= 0 && next > newest+1 {
			effects = append(effects, giveUp(newest+1, next-1, "its record may be lost"))
		}
	}
	r.next = next
	return effects
}

const causeUnreadable = "its record cannot be read"

func giveUp(from, through Window, cause string) Effect {
	return Effect{Kind: EffectGiveUp, Window: from, Through: through, Cause: cause}
}

// Sums is what the holder knows of the counts of all VMs.
type Sums interface {
	// Connected reports whether enough other VMs answer that the true time is known.
	Connected() bool
	// Total returns the requests in a window.
	Total(Window) map[model.Workspace]uint64
	// Settled reports whether all parts of the deployment have reported their counts of
	// a window after its end.
	Settled(Window) bool
}

// Tick returns what to do at the true time now.
func (r *Reporter) Tick(now WallTime, sums Sums) []Effect {
	if !r.Holding() {
		return nil
	}
	effects := r.skipLate(now)
	for _, w := range slices.Sorted(maps.Keys(r.reports)) {
		if e, ok := r.advance(now, r.reports[w]); ok {
			effects = append(effects, e)
		}
	}
	if r.recordable(now, sums) {
		record := Record{Window: r.next, Counts: sums.Total(r.next), Generation: r.generation}
		r.reports[r.next] = &report{record: record}
		r.next++
		e, _ := r.advance(now, r.reports[record.Window])
		effects = append(effects, e)
	}
	r.trim(now)
	return effects
}

// skipLate gives up windows whose counts were not fixed in time.
func (r *Reporter) skipLate(now WallTime) []Effect {
	first := r.next
	if r.settings.DueAt(first) > now {
		return nil
	}
	r.next = r.settings.Oldest(now)
	return []Effect{giveUp(first, r.next-1, "no holder of the duty recorded it in time")}
}

// recordable reports whether the counts of the next window can be fixed. There is at most
// one write of a record at a time.
func (r *Reporter) recordable(now WallTime, sums Sums) bool {
	end := r.settings.End(r.next)
	if now < end+WallTime(settleTime) || !sums.Connected() {
		return false
	}
	for _, p := range r.reports {
		if p.phase < phaseRecorded {
			return false
		}
	}
	return sums.Settled(r.next) || now >= end+WallTime(max(r.settings.Due-reportMargin, settleTime))
}

// advance returns the next effect of a window with fixed counts.
func (r *Reporter) advance(now WallTime, p *report) (Effect, bool) {
	w := p.record.Window
	if p.phase >= phaseAccepted {
		return Effect{}, false
	}
	if now >= r.settings.DueAt(w) {
		cause := "the platform has not answered in time"
		if p.phase < phaseRecorded {
			cause = "the store has not confirmed its record in time"
		}
		p.phase = phaseGivenUp
		return giveUp(w, w, cause), true
	}
	if p.busy || now < p.retryAt {
		return Effect{}, false
	}
	p.busy = true
	switch p.phase {
	case phaseRecording:
		return Effect{Kind: EffectRecord, Record: p.record, Window: w, Delete: r.deletable(now), Token: r.token}, true
	case phaseUnknown:
		return Effect{Kind: EffectRead, Window: w, Token: r.token}, true
	}
	return Effect{Kind: EffectSend, Record: p.record, Window: w, Token: r.token}, true
}

// deletable returns records in the store that are late and not the newest.
func (r *Reporter) deletable(now WallTime) []Window {
	var old []Window
	stored := slices.Sorted(maps.Keys(r.stored))
	for i, w := range stored {
		if i < len(stored)-1 && len(old) < maxDeletes && w < r.settings.Oldest(now) {
			old = append(old, w)
		}
	}
	return old
}

func (r *Reporter) trim(now WallTime) {
	oldest := r.settings.Oldest(now)
	maps.DeleteFunc(r.reports, func(w Window, p *report) bool { return w < oldest && !p.busy && p.phase >= phaseAccepted })
}

// answered returns the report that an answer belongs to, nil if it is of no interest any
// more.
func (r *Reporter) answered(token uint64, w Window) *report {
	p := r.reports[w]
	if !r.holding || token != r.token || p == nil {
		return nil
	}
	p.busy = false
	return p
}

// ReportRecorded reports the outcome of EffectRecord, with its token, window and deletes.
func (r *Reporter) ReportRecorded(now WallTime, e *Effect, outcome RecordOutcome) {
	p := r.answered(e.Token, e.Window)
	if p == nil {
		return
	}
	p.retryAt = now
	switch outcome {
	case RecordWritten:
		r.stored[e.Window] = true
		for _, w := range e.Delete {
			delete(r.stored, w)
		}
		r.setPhase(p, phaseRecorded)
	case RecordRejected:
		p.retryAt = now + WallTime(retryDelay)
	case RecordExists, RecordUnknown:
		r.setPhase(p, phaseUnknown)
	case RecordNotHolder:
		r.holding = false
	}
}

// setPhase sets the phase of a window that was not given up meanwhile.
func (r *Reporter) setPhase(p *report, next phase) {
	if p.phase != phaseGivenUp {
		p.phase = next
	}
}

// Reading is the outcome of EffectRead.
type Reading struct {
	// Failed is true if the store did not answer.
	Failed bool
	// Exists is true if there is a record, and Unreadable if it cannot be decoded.
	Exists, Unreadable bool
	Record             Record
}

// ReportRead reports the outcome of EffectRead. It returns the window if it has to be
// given up.
func (r *Reporter) ReportRead(now WallTime, e *Effect, read *Reading) []Effect {
	p := r.answered(e.Token, e.Window)
	if p == nil {
		return nil
	}
	p.retryAt = now + WallTime(retryDelay)
	switch {
	case read.Failed || p.phase != phaseUnknown:
	case !read.Exists:
		// The write may still be carried out; the next one has the same counts.
		p.phase = phaseRecording
	case read.Unreadable:
		r.stored[e.Window], p.phase = true, phaseGivenUp
		return []Effect{giveUp(e.Window, e.Window, causeUnreadable)}
	default:
		// Nothing of this window was sent by this VM, so the record counts in any case.
		r.stored[e.Window], p.record, p.phase, p.retryAt = true, read.Record, phaseRecorded, now
	}
	return nil
}

// ReportSent reports the outcome of EffectSend.
func (r *Reporter) ReportSent(now WallTime, e *Effect, outcome SendOutcome) {
	p := r.answered(e.Token, e.Window)
	if p == nil {
		return
	}
	switch outcome {
	case SendAccepted:
		r.setPhase(p, phaseAccepted)
	case SendRefused:
		r.refused = true
	case SendFailed:
		p.retryAt = now + WallTime(retryDelay)
	}
}
