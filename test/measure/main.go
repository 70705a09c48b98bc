// Command measure runs the deployments of docs/design.md as real processes on
// loopback, measures the figures of its section 1 and writes them to a JSON
// record and to docs/MEASUREMENTS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// flags holds the values of the command-line flags.
type flags struct {
	figures     []string
	deployments []string
	seed        uint64
	short       bool
	record      string
	page        string
	faultPeriod time.Duration
	root        string
	slopes      bool
	capacity    string
}

func parseFlags() flags {
	s := flags{}
	app := kingpin.New("measure", "Measures chervilhatch on this machine.")
	app.Flag("figure", "Measurement to run; may be repeated. Default: all of "+strings.Join(names(), ", ")+".").
		EnumsVar(&s.figures, names()...)
	app.Flag("deployment", "Deployment to measure; may be repeated. Default: all.").EnumsVar(&s.deployments, "ostemarked", "solur")
	app.Flag("seed", "Seed of the load.").Default("1").Uint64Var(&s.seed)
	app.Flag("short", "Use shorter periods and fewer trials.").BoolVar(&s.short)
	app.Flag("fault-period", "Duration of fault injection in the measurement of lost writes.").Default("20s").DurationVar(&s.faultPeriod)
	app.Flag("root", "Root of the repository.").Default("..").StringVar(&s.root)
	app.Flag("record", "JSON record to write.").Default("../docs/measurements/record.json").StringVar(&s.record)
	app.Flag("page", "Page to write; none if empty.").Default("../docs/MEASUREMENTS.md").StringVar(&s.page)
	app.Flag("slopes", "Measure the slopes for capacity planning instead of the figures.").BoolVar(&s.slopes)
	app.Flag("capacity", "Page that gets the section with the slopes.").Default("../docs/CAPACITY.md").StringVar(&s.capacity)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	return s
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, parseFlags()); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, s flags) error {
	if s.slopes {
		return measureSlopes(ctx, s)
	}
	started := time.Now()
	r := newRecord(s)
	for _, d := range deployments() {
		if len(s.deployments) == 0 || slices.Contains(s.deployments, d.name) {
			r.measure(ctx, s, d)
		}
	}
	r.Duration = time.Since(started).Round(time.Second).String()
	if err := r.save(s.record); err != nil {
		return err
	}
	if s.page == "" {
		return nil
	}
	return r.writePage(s.page)
}

// progress prints a line with the time to standard error.
func progress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, time.Now().Format("15:04:05 ")+format+"\n", args...)
}
