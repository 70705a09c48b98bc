package main

import (
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
)

// reducerBenchmarks lists the Go benchmarks of the core packages on the read path,
// with the number of events that one iteration applies.
var reducerBenchmarks = []struct {
	part   string
	name   string
	events float64
}{
	{"routing", "BenchmarkBatch", 2},
	{"replication", "BenchmarkReadCheck", 1},
	{"fairness", "BenchmarkEvents", 1},
}

const reducerTarget = 1e6

// benchmarkLine matches a result line of go test -bench -benchmem.
var benchmarkLine = regexp.MustCompile(`(Benchmark\w+)\S*\s+\d+\s+([\d.]+) ns/op\s+\d+ B/op\s+(\d+) allocs/op`)

func measureReducer(ctx context.Context, b *testbed) (result, error) {
	var r result
	seconds, allocations, events := 0.0, 0.0, 0.0
	detail := ""
	for _, m := range reducerBenchmarks {
		nanoseconds, allocs, err := b.benchmark(ctx, m.part, m.name)
		if err != nil {
			return r, err
		}
		seconds += nanoseconds / 1e9
		allocations += allocs
		events += m.events
		detail += fmt.Sprintf("core/%s %s: %.0f ns for %g event(s), %g allocations; ", m.part, m.name, nanoseconds, m.events, allocs)
	}
	r.figures = []figure{
		b.figureOf(figure{
			Name: "reducer events a second on one core, read path", Unit: "1/s", Value: events / seconds,
			Target: target{atLeast, reducerTarget}, Baseline: baseline{"the stated load of one VM, events of 5,500 reads a second", 5500 * events}, Detail: detail,
		}),
		b.figureOf(figure{
			Name: "allocations per event on the read path", Unit: "1", Value: allocations / events,
			Target: target{atMost, 0}, Baseline: baseline{"one effect list per event", 1}, Detail: detail,
		}),
	}
	return r, nil
}

// benchmark runs a benchmark of a core package on one core.
func (b *testbed) benchmark(ctx context.Context, part, name string) (nanoseconds, allocations float64, err error) {
	cmd := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", "^"+name+"$", "-benchmem", "-benchtime", "500ms", "-cpu", "1", "./core/"+part)
	cmd.Dir = b.root
	output, err := cmd.CombinedOutput()
	if err != nil {
		return 0, 0, fmt.Errorf("benchmark %s: %w: %s", name, err, output)
	}
	match := benchmarkLine.FindStringSubmatch(string(output))
	if match == nil {
		return 0, 0, fmt.Errorf("benchmark %s printed no result: %s", name, output)
	}
	if nanoseconds, err = strconv.ParseFloat(match[2], 64); err != nil {
		return 0, 0, err
	}
	allocations, err = strconv.ParseFloat(match[3], 64)
	return nanoseconds, allocations, err
}
