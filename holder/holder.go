package holder

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
)

// defaultIdleInTransaction is the default of Options.IdleInTransaction. An idle
// transaction occupies its slot.
const defaultIdleInTransaction = 10 * time.Second

// Options configures a Holder.
type Options struct {
	Decider Decider
	Pools   *Pools
	// IdleInTransaction is how long a transaction may be idle before it is
	// rolled back; 0 means the default.
	IdleInTransaction time.Duration
	// Tracer is nil if spans are not recorded.
	Tracer trace.Tracer
}

// Holder implements executor.UpstreamOpener for the upstreams whose connections this
// VM holds.
type Holder struct {
	options       Options
	activeStreams activeStreams
}

var _ executor.UpstreamOpener = (*Holder)(nil)

// New returns a Holder with the given options.
func New(options Options) *Holder {
	if options.IdleInTransaction <= 0 {
		options.IdleInTransaction = defaultIdleInTransaction
	}
	return &Holder{options: options, activeStreams: newActiveStreams()}
}

// Open returns a stream for one caller session on upstream u. It does not
// contact the upstream; Run does.
func (h *Holder) Open(_ context.Context, hello executor.Hello, u model.UpstreamID) (executor.Stream, error) {
	return &stream{holder: h, hello: hello, upstream: u, tx: txIdle}, nil
}
