// Command bench measures the CPU time, latency and memory of a daemon. It starts
// one daemon process, with a stand-in database group, for each given directory
// of binaries. Each round measures all daemons in turn, so that a run compares
// versions under the same conditions.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// options are the parameters of a run.
type options struct {
	rounds   int
	duration time.Duration
	callers  int
	idle     int
	modes    string
	procs    int
}

func main() {
	var o options
	flag.IntVar(&o.rounds, "rounds", 3, "rounds of each measurement")
	flag.DurationVar(&o.duration, "duration", 2*time.Second, "length of one measurement")
	flag.IntVar(&o.callers, "callers", 32, "callers of the throughput measurements")
	flag.IntVar(&o.idle, "idle", 1000, "callers of the memory measurement")
	flag.StringVar(&o.modes, "modes", "simple,prepared,write,latency,idle", "what to measure")
	flag.IntVar(&o.procs, "procs", 0, "GOMAXPROCS of the daemons, 0 for all cores")
	flag.Parse()
	if flag.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "usage: bench [flags] directory-of-binaries...")
		os.Exit(2)
	}
	if o.procs > 0 {
		// Applies to the daemons only: the Go runtime of this process has already
		// read the variable.
		_ = os.Setenv("GOMAXPROCS", strconv.Itoa(o.procs))
	}
	if err := run(context.Background(), &o, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts all targets, measures each of them in every round of every mode,
// and stops them.
func run(ctx context.Context, o *options, dirs []string) error {
	var targets []*target
	defer func() {
		for _, t := range targets {
			t.stop()
		}
	}()
	for _, dir := range dirs {
		t, err := startTarget(ctx, dir)
		if t != nil {
			targets = append(targets, t)
		}
		if err != nil {
			return err
		}
		fmt.Printf("%s: admin page at %s\n", dir, t.cluster.Daemons[0].AdminAddress)
	}
	for _, mode := range strings.Split(o.modes, ",") {
		for range o.rounds {
			for _, t := range targets {
				if err := t.measure(ctx, o, mode); err != nil {
					return fmt.Errorf("%s: %s: %w", t.name, mode, err)
				}
			}
		}
		for _, t := range targets {
			t.summarize(mode)
		}
	}
	return nil
}
