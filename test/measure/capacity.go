package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/chervilhatch/chervilhatch/test/measure/slopes"
)

// Deployment sizes at which the slopes are measured.
var (
	zoneVMs        = []int{10, 40, 160}
	zoneCounts     = []int{3, 11, 26}
	documentSizes  = []int{10, 100, 400}
	heldDatabases  = []int{1, 4, 12}
	idleSizes      = []int{500, 1000, 2000}
	statementConns = []int{2, 8, 32}
	storeZones     = []int{1, 2, 4}
)

// idlePeriod is how long background work of a cluster without load is measured.
const idlePeriod = 6 * time.Second

// measureSlopes measures all slopes and writes slopes.json and the section of
// the capacity page.
func measureSlopes(ctx context.Context, s flags) error {
	steps := []func(context.Context, flags) (slopes.Slope, error){
		func(context.Context, flags) (slopes.Slope, error) { return slopes.ExchangeByVMs(zoneVMs, false) },
		func(context.Context, flags) (slopes.Slope, error) { return slopes.ExchangeByVMs(zoneVMs, true) },
		func(context.Context, flags) (slopes.Slope, error) { return slopes.ExchangeByZones(zoneCounts) },
		func(context.Context, flags) (slopes.Slope, error) { return slopes.Configuration(documentSizes) },
		statusPolls, idleMemory, statementCost, storeCalls,
	}
	var list []slopes.Slope
	for _, step := range steps {
		slope, err := step(ctx, s)
		if err != nil {
			return err
		}
		progress("%s%s", slope.Name, slope.Markdown())
		list = append(list, slope)
	}
	if err := saveSlopes(filepath.Join(filepath.Dir(s.record), "slopes.json"), list); err != nil {
		return err
	}
	return writeSection(s.capacity, list)
}

func saveSlopes(path string, list []slopes.Slope) error {
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

const (
	sectionHeader = "## Measured slopes\n"
	sectionText   = `
This section is written by ` + "`make measure MEASURE=--slopes`" + `; don't edit it. All sizes of a table were measured in one
run on one machine with shared cores. "Per unit" is the least-squares slope over the sizes. The record is
[measurements/slopes.json](measurements/slopes.json).
`
)

// writeSection replaces or adds the section with the slopes in the capacity page.
func writeSection(path string, list []slopes.Slope) error {
	section := sectionHeader + sectionText
	for _, slope := range list {
		section += slope.Markdown()
	}
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		data, err = []byte("# Capacity\n\n"), nil
	}
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(replaceSection(string(data), section)), 0o644)
}

// replaceSection replaces the section that starts with sectionHeader, or appends
// the new one if the page has none.
func replaceSection(page, section string) string {
	before, rest, found := strings.Cut(page, sectionHeader)
	if !found {
		return strings.TrimRight(page, "\n") + "\n\n" + section
	}
	after := ""
	if i := strings.Index(rest, "\n## "); i >= 0 {
		after = rest[i:]
	}
	return before + section + after
}

// singleVMDeployment returns a deployment of one VM with a number of databases.
func singleVMDeployment(databases int) deployment {
	d := deployments()[0].variant(singleVM)
	d.name = "single"
	d.databases = nil
	for i := range databases {
		d.databases = append(d.databases, fmt.Sprintf("database%d", i+1))
	}
	return d
}

// withTestbed starts a deployment, runs f on it and stops it.
func withTestbed(ctx context.Context, s flags, d deployment, f func(*testbed) error) error {
	b, err := startTestbed(ctx, d, s)
	if err != nil {
		return err
	}
	defer b.stop()
	time.Sleep(settlePeriod)
	return f(b)
}

// statusPolls measures the background processor time of one VM that holds all
// upstreams.
func statusPolls(ctx context.Context, s flags) (slopes.Slope, error) {
	slope := slopes.Slope{
		Name: "Status polls by upstreams held", Size: "upstreams held",
		Columns: []string{"ms of processor time a second"},
		Note: "One VM without callers that is main and standby holder and watcher of every upstream; all control of the daemon " +
			"is included.",
	}
	for _, n := range heldDatabases {
		err := withTestbed(ctx, s, singleVMDeployment(n), func(b *testbed) error {
			used, err := b.processorTimeOf(func() error { time.Sleep(idlePeriod); return nil })
			slope.Rows = append(slope.Rows, slopes.Row{
				Size: float64(n * len(b.Groups[b.databases[0]].Upstreams)), Costs: []float64{used.Seconds() * 1000 / idlePeriod.Seconds()},
			})
			return err
		})
		if err != nil {
			return slope, err
		}
	}
	return slope, nil
}

// processorTimeOf returns the processor time that the first daemon used during f.
func (b *testbed) processorTimeOf(f func() error) (time.Duration, error) {
	before, err := b.Daemons[0].Usage()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := b.Daemons[0].Usage()
	return after.CPUTime - before.CPUTime, err
}

func idleMemory(ctx context.Context, s flags) (slopes.Slope, error) {
	slope := slopes.Slope{
		Name: "Memory by idle callers", Size: "callers", Columns: []string{"resident memory, MB"},
		Note: "One VM; each size in a new process; each session has run one read.",
	}
	for _, n := range idleSizes {
		err := withTestbed(ctx, s, singleVMDeployment(1), func(b *testbed) error {
			conns, err := connectIdle(ctx, b.URL(0, workspace(0), primaryJob(b.databases[0])), n)
			defer closeAll(ctx, conns)
			if err != nil {
				return err
			}
			time.Sleep(idleSettle)
			usage, err := b.Daemons[0].Usage()
			slope.Rows = append(slope.Rows, slopes.Row{Size: float64(n), Costs: []float64{float64(usage.ResidentBytes) / 1e6}})
			return err
		})
		if err != nil {
			return slope, err
		}
	}
	return slope, nil
}

func statementCost(ctx context.Context, s flags) (slopes.Slope, error) {
	slope := slopes.Slope{
		Name: "Processor time of forwarded statements", Size: "connections in a closed loop",
		Columns: []string{"statements a second", "microseconds of processor time a statement"},
		Note:    "One VM that holds the primary; simple reads; all control of the daemon is included.",
	}
	err := withTestbed(ctx, s, singleVMDeployment(1), func(b *testbed) error {
		for _, conns := range statementConns {
			count := int64(0)
			used, err := b.processorTimeOf(func() (err error) {
				count, err = closedLoop(ctx, b.URL(0, workspace(0), primaryJob(b.databases[0])), conns, throughputPeriod, simpleRequest)
				return err
			})
			if err != nil {
				return err
			}
			slope.Rows = append(slope.Rows, slopes.Row{Size: float64(conns), Costs: []float64{
				float64(count) / throughputPeriod.Seconds(), float64(used.Microseconds()) / float64(count),
			}})
		}
		return nil
	})
	return slope, err
}

// storeCounters is the name prefix of the daemons' counters of store calls.
const storeCounters = "store.calls."

func storeCalls(ctx context.Context, s flags) (slopes.Slope, error) {
	slope := slopes.Slope{
		Name: "Calls to the store by zones", Size: "zones (2 VMs each)",
		Columns: []string{"calls a second, from the daemons' metrics pages", "calls a second, counted by the stand-in"},
		Note:    "No callers and no changes. Watches that wait are calls that began before and are not counted.",
	}
	for _, n := range storeZones {
		d := deployments()[0].variant(withoutDelays)
		d.zones, d.vms = d.zones[:n], 2*n
		err := withTestbed(ctx, s, d, func(b *testbed) error {
			row, err := b.storeCallRow(ctx, n)
			slope.Rows = append(slope.Rows, row)
			return err
		})
		if err != nil {
			return slope, err
		}
	}
	return slope, nil
}

func (b *testbed) storeCallRow(ctx context.Context, zones int) (slopes.Row, error) {
	before, err := b.storeCounters(ctx)
	if err != nil {
		return slopes.Row{}, err
	}
	b.Platform.ResetCalls()
	time.Sleep(idlePeriod)
	counted := 0
	for _, n := range b.Platform.Calls() {
		counted += n
	}
	after, err := b.storeCounters(ctx)
	seconds := idlePeriod.Seconds()
	return slopes.Row{Size: float64(zones), Costs: []float64{(after - before) / seconds, math.Round(float64(counted)/seconds*100) / 100}}, err
}

// storeCounters sums the counters of calls to the store over all daemons.
func (b *testbed) storeCounters(ctx context.Context) (float64, error) {
	total := 0.0
	for _, d := range b.Daemons {
		page, err := d.Metrics(ctx)
		if err != nil {
			return 0, err
		}
		for name, values := range page {
			if n, ok := values["count"].(float64); ok && strings.HasPrefix(name, storeCounters) {
				total += n
			}
		}
	}
	return total, nil
}
