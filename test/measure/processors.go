package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// processors is the processor time that a measurement used, in cores.
type processors struct {
	Name       string `json:"name"`
	Deployment string `json:"deployment"`
	// Measuring has the load generator, the links and all stand-ins.
	Measuring float64 `json:"measuring"`
	Daemons   float64 `json:"daemons"`
}

// observed measures the processor time from its making on.
type observed struct {
	bench   *bench
	started time.Time
	own     time.Duration
	daemons time.Duration
}

func (b *bench) observe() observed {
	return observed{b, time.Now(), ownTime(), b.daemonsTime()}
}

// ownTime is the processor time of this process.
func ownTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the own process cannot fail with valid arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// daemonsTime is the processor time of all daemons that run.
func (b *bench) daemonsTime() time.Duration {
	var total time.Duration
	for _, d := range b.Daemons {
		if usage, err := d.Usage(); err == nil {
			total += usage.CPUTime
		}
	}
	return total
}

func (o observed) result(name string) processors {
	wall := time.Since(o.started).Seconds()
	return processors{
		Name: name, Deployment: o.bench.name,
		Measuring: (ownTime() - o.own).Seconds() / wall,
		// A daemon that was restarted begins again at 0.
		Daemons: max(0, (o.bench.daemonsTime()-o.daemons).Seconds()/wall),
	}
}

// writeProcessors shows whether the machine or the measuring process was full.
func (r *record) writeProcessors(out *strings.Builder) {
	fmt.Fprintf(out, "\n## Processor time\n\nCores used on average, of %d. The measuring process has the load generator, the links and "+
		"all stand-ins.\n\n| deployment | measurement | measuring process | all daemons |\n|---|---|---|---|\n", r.Cores)
	for _, p := range r.Processors {
		fmt.Fprintf(out, "| %s | %s | %.2f | %.2f |\n", p.Deployment, p.Name, p.Measuring, p.Daemons)
	}
}
