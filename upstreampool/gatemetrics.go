package upstreampool

import (
	"strconv"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/core/admission"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// The samples of histograms follow the last minutes, as go-metrics recommends.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// GateMetrics are the metrics of the gates of a VM's pools, under "admission.".
type GateMetrics struct {
	registry metrics.Registry
	// waiting is the number of statements that wait in all queues, narrowed counts
	// the narrowings of a gate.
	waiting, narrowed metrics.Counter
	// waits has the wait of granted statements in milliseconds, by priority.
	waits [admission.Priorities]metrics.Histogram
	// late and early have by how many milliseconds granted statements waited longer,
	// or shorter, than was expected at their arrival.
	late, early metrics.Histogram
	// refused counts the refusals of each cause.
	refused [admission.Stalled + 1]metrics.Counter
}

// NewGateMetrics returns the metrics of a registry.
func NewGateMetrics(r metrics.Registry) *GateMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	m := &GateMetrics{
		registry: r,
		waiting:  metrics.GetOrRegisterCounter("admission.waiting", r),
		narrowed: metrics.GetOrRegisterCounter("admission.narrowed", r),
		late:     histogram("admission.estimate.waited_longer_ms"),
		early:    histogram("admission.estimate.waited_shorter_ms"),
	}
	for p := range m.waits {
		m.waits[p] = histogram("admission.wait_ms.priority_" + strconv.Itoa(p))
	}
	for c := range m.refused {
		m.refused[c] = metrics.GetOrRegisterCounter("admission.refused."+admission.Cause(c).String(), r)
	}
	return m
}

func (m *GateMetrics) grant(e *admission.Entry, now model.Time) {
	m.waiting.Dec(1)
	waited := now.Sub(e.Arrival)
	m.waits[min(max(e.Priority, 0), admission.Priorities-1)].Update(waited.Milliseconds())
	if off := waited - e.Estimate(); off > 0 {
		m.late.Update(off.Milliseconds())
	} else {
		m.early.Update(-off.Milliseconds())
	}
}

func (m *GateMetrics) refuse(c admission.Cause) {
	m.refused[c].Inc(1)
}

func widthName(id model.UpstreamID) string { return "admission.width." + string(id) }

func (m *GateMetrics) widthGauge(id model.UpstreamID) metrics.Gauge {
	return metrics.GetOrRegisterGauge(widthName(id), m.registry)
}

func (m *GateMetrics) forget(id model.UpstreamID) { m.registry.Unregister(widthName(id)) }
