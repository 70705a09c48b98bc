package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilhatch/chervilhatch/test/cluster"
)

const (
	// warmUp is the time under load before each throughput measurement.
	warmUp = 300 * time.Millisecond
	// bufferReleaseWait is longer than the time after which an idle session
	// releases its buffers.
	bufferReleaseWait = 4 * time.Second
	bytesPerKB        = 1024
)

// throughput measures the statements per second of the daemon's CPU time. Each
// caller sends setup once, if it is not empty, and then request repeatedly.
func (t *target) throughput(ctx context.Context, o *options, mode string, setup, request []byte) error {
	load, err := startLoad(ctx, t.proxyURL(), o.callers, setup, request)
	if err != nil {
		return err
	}
	time.Sleep(warmUp)
	before, err := t.usage()
	if err != nil {
		return err
	}
	start, count := time.Now(), load.completed.Load()
	time.Sleep(o.duration)
	elapsed := time.Since(start)
	count = load.completed.Load() - count
	after, err := t.usage()
	if err != nil {
		return err
	}
	if err := load.stop(); err != nil {
		return err
	}
	used := after.CPUTime - before.CPUTime
	perCore := float64(count) / used.Seconds()
	t.perCore[mode] = append(t.perCore[mode], perCore)
	fmt.Printf("%-10s %-9s %9.0f statements/s, %9.0f per core of the daemon\n",
		t.name, mode, float64(count)/elapsed.Seconds(), perCore)
	return nil
}

// summarize prints the median over all rounds of a throughput measurement.
func (t *target) summarize(mode string) {
	results := t.perCore[mode]
	if len(results) == 0 {
		return
	}
	slices.Sort(results)
	median := results[len(results)/2]
	fmt.Printf("%-10s %-9s median of %d rounds: %.0f per core of the daemon, %.1f us of processor time each\n",
		t.name, mode, len(results), median, float64(time.Second/time.Microsecond)/median)
}

// load is a set of callers that each repeat one request.
type load struct {
	completed atomic.Int64
	stopped   atomic.Bool
	callers   sync.WaitGroup
	mu        sync.Mutex
	err       error
}

func startLoad(ctx context.Context, url string, callers int, setup, request []byte) (*load, error) {
	l := &load{}
	for range callers {
		c, err := dial(ctx, url)
		if err != nil {
			return nil, errors.Join(err, l.stop())
		}
		l.callers.Go(func() { l.repeat(c, setup, request) })
	}
	return l, nil
}

func (l *load) repeat(c *caller, setup, request []byte) {
	defer c.close()
	if len(setup) > 0 {
		l.recordError(c.roundTrip(setup))
	}
	for !l.stopped.Load() {
		l.recordError(c.roundTrip(request))
		l.completed.Add(1)
	}
}

// recordError records an error and stops all callers, unless err is nil.
func (l *load) recordError(err error) {
	if err == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = errors.Join(l.err, err)
	l.stopped.Store(true)
}

func (l *load) stop() error {
	l.stopped.Store(true)
	l.callers.Wait()
	return l.err
}

// latency compares the latency of reads through the proxy with that of reads on
// a direct connection to an upstream, with one caller each.
func (t *target) latency(ctx context.Context, o *options) error {
	direct, err := t.sample(ctx, o, t.directURL())
	if err != nil {
		return err
	}
	proxy, err := t.sample(ctx, o, t.proxyURL())
	if err != nil {
		return err
	}
	added50 := percentile(proxy, 50) - percentile(direct, 50)
	added99 := percentile(proxy, 99) - percentile(direct, 99)
	fmt.Printf("%-10s latency   median %v direct, %v proxy, %v added; 99th percentile %v direct, %v proxy, %v added\n",
		t.name, percentile(direct, 50), percentile(proxy, 50), added50, percentile(direct, 99), percentile(proxy, 99), added99)
	return nil
}

// sample returns the sorted latencies of reads by one caller.
func (t *target) sample(ctx context.Context, o *options, url string) ([]time.Duration, error) {
	c, err := dial(ctx, url)
	if err != nil {
		return nil, err
	}
	defer c.close()
	var latencies []time.Duration
	request := simpleQuery(readSQL)
	for end := time.Now().Add(o.duration); time.Now().Before(end); {
		start := time.Now()
		if err := c.roundTrip(request); err != nil {
			return nil, err
		}
		latencies = append(latencies, time.Since(start))
	}
	slices.Sort(latencies)
	return latencies, nil
}

func percentile(sorted []time.Duration, p int) time.Duration {
	return sorted[len(sorted)*p/100]
}

// idle measures the increase of the daemon's resident memory per idle caller.
func (t *target) idle(ctx context.Context, o *options) error {
	before, err := t.usage()
	if err != nil {
		return err
	}
	callers := make([]*caller, 0, o.idle)
	defer func() {
		for _, c := range callers {
			c.close()
		}
	}()
	for range o.idle {
		c, err := dial(ctx, t.proxyURL())
		if err != nil {
			return err
		}
		callers = append(callers, c)
		if err := c.roundTrip(simpleQuery(readSQL)); err != nil {
			return err
		}
	}
	time.Sleep(bufferReleaseWait)
	after, err := t.usage()
	if err != nil {
		return err
	}
	fmt.Printf("%-10s idle      %.1f KB for each of %d idle callers\n", t.name, float64(after.ResidentBytes-before.ResidentBytes)/bytesPerKB/float64(o.idle), o.idle)
	return nil
}

func (t *target) usage() (cluster.Usage, error) { return t.cluster.Daemons[0].Usage() }
