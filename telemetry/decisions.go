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
	// logBufferLines is how many lines wait for a slow reader of the log before
	// lines are dropped.
	logBufferLines = 2048
	// maxDecisionsPerSecond bounds the lines about requests; a VM under overload
	// would else spend its time on them.
	maxDecisionsPerSecond = 200
)

// NewNonBlockingWriter returns a writer that never makes its user wait: lines that w
// does not take in time are dropped and counted.
func NewNonBlockingWriter(w io.Writer, registry metrics.Registry) io.Writer {
	dropped := metrics.GetOrRegisterCounter("log.dropped", registry)
	return diode.NewWriter(w, logBufferLines, 0, func(missed int) { dropped.Inc(int64(missed)) })
}

// DecisionLog writes one line for each decision about a request, up to a number
// of lines a second.
type DecisionLog struct {
	log     zerolog.Logger
	dropped metrics.Counter
	// second is the Unix second that written counts the lines of.
	second  atomic.Int64
	written atomic.Int64
}

// NewDecisionLog returns a log of decisions.
func NewDecisionLog(log zerolog.Logger, registry metrics.Registry) *DecisionLog {
	return &DecisionLog{log: log, dropped: metrics.GetOrRegisterCounter("log.decisions_dropped", registry)}
}

// Info writes a line about the request with the given id; it may be empty.
// fields adds the inputs and the outcome.
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

// allow reports whether another line may be written in this second.
func (d *DecisionLog) allow() bool {
	now := time.Now().Unix()
	if last := d.second.Load(); last != now && d.second.CompareAndSwap(last, now) {
		d.written.Store(0)
	}
	return d.written.Add(1) <= maxDecisionsPerSecond
}
