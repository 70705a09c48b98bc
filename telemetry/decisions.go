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
	// logBuffer is how many lines wait for a slow reader of the log before
	// lines are dropped.
	logBuffer = 2048
	// decisionsPerSecond bounds the lines about requests; a VM under overload
	// would else spend its time on them.
	decisionsPerSecond = 200
)

// NonBlocking returns a writer that never makes its user wait: lines that w
// does not take in time are dropped and counted.
func NonBlocking(w io.Writer, registry metrics.Registry) io.Writer {
	dropped := metrics.GetOrRegisterCounter("log.dropped", registry)
	return diode.NewWriter(w, logBuffer, 0, func(missed int) { dropped.Inc(int64(missed)) })
}

// Decisions writes one line for each decision about a request, up to a number
// of lines a second.
type Decisions struct {
	log     zerolog.Logger
	dropped metrics.Counter
	// second is the Unix second that written counts the lines of.
	second  atomic.Int64
	written atomic.Int64
}

// NewDecisions returns a log of decisions.
func NewDecisions(log zerolog.Logger, registry metrics.Registry) *Decisions {
	return &Decisions{log: log, dropped: metrics.GetOrRegisterCounter("log.decisions_dropped", registry)}
}

// Info writes a line about the request with the given id; it may be empty.
// fields adds the inputs and the outcome.
func (d *Decisions) Info(request, decision string, fields func(*zerolog.Event)) {
	if !d.take() {
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

// take reports whether another line may be written in this second.
func (d *Decisions) take() bool {
	now := time.Now().Unix()
	if last := d.second.Load(); last != now && d.second.CompareAndSwap(last, now) {
		d.written.Store(0)
	}
	return d.written.Add(1) <= decisionsPerSecond
}
