package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logBufferLines is the number of lines that are buffered for a slow reader of
	// the log; further lines are dropped.
	logBufferLines = 2048
	// maxDecisionsPerSecond limits the log lines about requests, on which an
	// overloaded VM would otherwise spend its CPU time.
	maxDecisionsPerSecond = 200
)

// NewNonBlockingWriter returns a writer that buffers lines and never blocks. If w
// is too slow, lines are dropped and counted.
func NewNonBlockingWriter(w io.Writer, registry metrics.Registry) io.Writer {
	dropped := metrics.GetOrRegisterCounter("log.dropped", registry)
	return diode.NewWriter(w, logBufferLines, 0, func(missed int) { dropped.Inc(int64(missed)) })
}

// DecisionLog logs decisions about requests, one line each and at most
// maxDecisionsPerSecond lines per second.
type DecisionLog struct {
	log     zerolog.Logger
	dropped metrics.Counter
	// second is the Unix time, in seconds, to which written applies.
	second  atomic.Int64
	written atomic.Int64
}

// NewDecisionLog returns a DecisionLog that writes to log.
func NewDecisionLog(log zerolog.Logger, registry metrics.Registry) *DecisionLog {
	return &DecisionLog{log: log, dropped: metrics.GetOrRegisterCounter("log.decisions_dropped", registry)}
}

// Info logs a decision about the request with the given id, which may be empty.
// fields adds the inputs and the outcome of the decision.
func (d *DecisionLog) Info(request, decision string, fields func(*zerolog.Event)) {
	if !d.allow() {
		d.dropped.Inc(1)
		return
	}
	e := d.log.Info()
	if request != "" {
		e.Str("request", request)
	}
	fields(e)
	e.Msg(decision)
}

// allow reports whether the rate limit allows another line, and counts it.
func (d *DecisionLog) allow() bool {
	now := time.Now().Unix()
	if last := d.second.Load(); last != now && d.second.CompareAndSwap(last, now) {
		d.written.Store(0)
	}
	return d.written.Add(1) <= maxDecisionsPerSecond
}
