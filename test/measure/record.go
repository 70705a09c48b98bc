package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"
)

// skipped is a measurement or a figure without a value.
type skipped struct {
	Name       string `json:"name"`
	Deployment string `json:"deployment"`
	Reason     string `json:"reason"`
}

// curve is the data of one plot.
type curve struct {
	Name       string      `json:"name"`
	Deployment string      `json:"deployment"`
	X          string      `json:"x"`
	Y          string      `json:"y"`
	Lines      []curveLine `json:"lines"`
}

// curveLine is one line of a plot.
type curveLine struct {
	Name string       `json:"name"`
	XY   [][2]float64 `json:"xy"`
}

// record holds all results of a run.
type record struct {
	Started  time.Time `json:"started"`
	Duration string    `json:"duration"`
	Seed     uint64    `json:"seed"`
	Short    bool      `json:"short"`
	Cores    int       `json:"cores"`
	Go       string    `json:"go"`
	Figures  []figure  `json:"figures"`
	Skipped  []skipped `json:"not_measured"`
	Curves   []curve   `json:"curves"`
	// Processors has the processor time that each measurement used.
	Processors []processorUsage `json:"processors"`
}

func newRecord(s flags) *record {
	return &record{
		Started: time.Now().UTC().Truncate(time.Second), Seed: s.seed, Short: s.short,
		Cores: runtime.NumCPU(), Go: runtime.Version(),
	}
}

// measurement measures one or more figures of a deployment.
type measurement struct {
	name string
	// clusterVariant is the cluster that the measurement needs.
	clusterVariant clusterVariant
	measure        func(ctx context.Context, b *testbed) (result, error)
}

// result is what a measurement returns.
type result struct {
	figures []figure
	curves  []curve
}

// clusterVariant selects the delays and the size with which a deployment is run.
type clusterVariant int

const (
	// withDelays has the deployment's link delays and connection times.
	withDelays clusterVariant = iota
	// withoutDelays has neither link delays nor connection times.
	withoutDelays
	// singleVM is one VM without delays and with many slots.
	singleVM
)

// measurements returns all measurements in the order in which they run.
func measurements() []measurement {
	return []measurement{
		{"reads", withDelays, measureReads},
		{"fairness", withDelays, measureFairness},
		{"overrate", withDelays, measureOverRate},
		{"refused", withDelays, measureRefused},
		{"store", withDelays, measureStore},
		{"withdrawal", withDelays, measureWithdrawal},
		{"preset", withDelays, measurePreset},
		{"crash", withDelays, measureCrash},
		{"partition", withDelays, measurePartition},
		{"switchover", withDelays, measureSwitchover},
		{"zone", withDelays, measureZone},
		{"vmdeath", withDelays, measureVMFailure},
		{"writes", withDelays, measureWrites},
		{"latency", withoutDelays, measureLatency},
		{"throughput", singleVM, measureThroughput},
		{"memory", singleVM, measureMemory},
		{"reducer", singleVM, measureReducer},
	}
}

func names() []string {
	var list []string
	for _, m := range measurements() {
		list = append(list, m.name)
	}
	return list
}

// measure runs the selected measurements of one deployment; those of the same
// variant share a cluster.
func (r *record) measure(ctx context.Context, s flags, d deployment) {
	for _, kind := range []clusterVariant{withDelays, withoutDelays, singleVM} {
		var selected []measurement
		for _, m := range measurements() {
			if m.clusterVariant == kind && (len(s.figures) == 0 || slices.Contains(s.figures, m.name)) {
				selected = append(selected, m)
			}
		}
		if len(selected) > 0 {
			r.measureVariant(ctx, s, d.variant(kind), selected)
		}
	}
}

func (r *record) measureVariant(ctx context.Context, s flags, d deployment, selected []measurement) {
	progress("%s: starting %d VMs", d.name, d.vms)
	b, err := startTestbed(ctx, d, s)
	if err != nil {
		for _, m := range selected {
			r.addSkipped(m.name, d.name, err)
		}
		return
	}
	defer b.stop()
	for _, m := range selected {
		progress("%s: %s", d.name, m.name)
		meter := b.startProcessorMeter()
		result, err := m.measure(ctx, b)
		r.Processors = append(r.Processors, meter.result(m.name))
		if err != nil {
			r.addSkipped(m.name, d.name, err)
		}
		for _, f := range result.figures {
			r.addFigure(f)
		}
		r.Curves = append(r.Curves, result.curves...)
	}
}

func (r *record) addFigure(f figure) {
	if !f.valid() {
		r.Skipped = append(r.Skipped, skipped{f.Name, f.Deployment, "no samples; " + f.Detail})
		return
	}
	progress("%s", f)
	r.Figures = append(r.Figures, f)
}

func (r *record) addSkipped(name, deployment string, err error) {
	progress("%s: %s not measured: %v", deployment, name, err)
	r.Skipped = append(r.Skipped, skipped{name, deployment, err.Error()})
}

func (r *record) save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
