package node

import (
	"context"
	"errors"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/frontend"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// requestMetrics counts callers' requests by how they were served, and by SQLSTATE
// the requests that chervilhatch ended with an error of its own.
type requestMetrics struct {
	registry metrics.Registry
	writes   metrics.Counter
	primary  metrics.Counter
	replica  metrics.Counter
	latency  metrics.Histogram
}

// latencySamples is the size of the latency histogram's reservoir.
const latencySamples = 1028

func newRequestMetrics(r metrics.Registry) *requestMetrics {
	m := &requestMetrics{
		registry: r,
		writes:   metrics.NewCounter(),
		primary:  metrics.NewCounter(),
		replica:  metrics.NewCounter(),
		latency:  metrics.NewHistogram(metrics.NewUniformSample(latencySamples)),
	}
	named := map[string]any{
		"requests.writes":               m.writes,
		"requests.reads_by_primary":     m.primary,
		"requests.reads_by_replica":     m.replica,
		"requests.latency_microseconds": m.latency,
	}
	for name, metric := range named {
		// Register only fails for duplicate names, and these are used nowhere else.
		_ = r.Register(name, metric)
	}
	return m
}

// failed counts a request that chervilhatch ended with an error.
func (m *requestMetrics) failed(err error) {
	var own *sqlstate.Error
	if errors.As(err, &own) {
		countMetric(m.registry, "requests.failed."+string(own.Code))
	}
}

func (m *requestMetrics) served(b *executor.Batch, r executor.Result, elapsed time.Duration) {
	m.latency.Update(elapsed.Microseconds())
	switch {
	case b.Class == model.Write:
		m.writes.Inc(1)
	case r.Replica:
		m.replica.Inc(1)
	default:
		m.primary.Inc(1)
	}
}

// countedExecutor wraps an executor and counts its batches.
type countedExecutor struct {
	executor.Executor
	metrics *requestMetrics
}

// Open implements executor.Executor.
func (e countedExecutor) Open(ctx context.Context, h executor.Hello) (executor.Stream, error) {
	s, err := e.Executor.Open(ctx, h)
	if err != nil {
		return nil, err
	}
	return countedStream{s, e.metrics}, nil
}

type countedStream struct {
	executor.Stream
	metrics *requestMetrics
}

// Run implements executor.Stream.
func (s countedStream) Run(ctx context.Context, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	start := time.Now()
	result, err := s.Stream.Run(ctx, b, sink)
	if err != nil {
		s.metrics.failed(err)
		return result, err
	}
	s.metrics.served(b, result, time.Since(start))
	return result, nil
}

// countedAdmitter wraps an admitter and counts its refusals.
type countedAdmitter struct {
	frontend.Admitter
	metrics *requestMetrics
}

// Admit implements frontend.Admitter.
func (a countedAdmitter) Admit(ctx context.Context, w model.Workspace, cost int) error {
	err := a.Admitter.Admit(ctx, w, cost)
	if err != nil {
		a.metrics.failed(err)
	}
	return err
}
