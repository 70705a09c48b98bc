package main

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Load, periods and targets of the rate limit trials.
const (
	withinLimitFactor = 0.8
	skewedShare       = 0.75
	rateConns         = 16
	ratePeriod        = 6 * time.Second
	vmFailureSettle   = 2 * time.Second
	vmFailureWindow   = 6 * time.Second
	removalDelay      = time.Second
	floodFactor       = 4.0
	floodWorkspace    = 4
	floodConns        = 64
	codeRateLimited   = "53R01"
)

// refusal reports whether a code means that the proxy refused the request, which
// was therefore not run.
func refusal(code string) bool {
	return strings.HasPrefix(code, "53R") || strings.HasPrefix(code, "57R")
}

func refused(samples []sample) int {
	n := 0
	for _, s := range samples {
		if refusal(s.code) {
			n++
		}
	}
	return n
}

// withinLimitStreams returns streams that send each workspace's requests below
// its rate limit. Skewed ones send the share skewedShare of them to one VM.
func (b *testbed) withinLimitStreams(skewed bool, vms func(first int) []int) []stream {
	var list []stream
	add := func(i int, rate float64, on []int) {
		list = append(list, stream{
			workspace: workspace(i), job: replicaJob(b.databases[i%len(b.databases)]), vms: on, rate: rate,
			conns: rateConns, seed: b.seed + uint64(len(list)), statement: readItem,
		})
	}
	for i, rate := range b.rates {
		rate *= withinLimitFactor
		if !skewed {
			add(i, rate, vms(i))
			continue
		}
		add(i, rate*skewedShare, vms(i)[:1])
		add(i, rate*(1-skewedShare), vms(i)[1:])
	}
	return list
}

func measureRefused(ctx context.Context, b *testbed) (result, error) {
	var r result
	for _, skewed := range []bool{false, true} {
		l := startLoad(ctx, b.Cluster, b.withinLimitStreams(skewed, b.allVMs))
		time.Sleep(settlePeriod + b.scaled(ratePeriod))
		samples := l.stop()
		name := "requests refused although inside the rate, even over VMs"
		if skewed {
			name = "requests refused although inside the rate, skewed over VMs"
		}
		r.figures = append(r.figures, b.refusedFigure(name, samples, skewed, 0))
	}
	return r, nil
}

func (b *testbed) refusedFigure(name string, samples []sample, skewed bool, limit float64) figure {
	static := 0.0
	if skewed {
		// With a static division of the rate, the VM that gets the skewed load
		// would refuse what exceeds its part.
		sent := withinLimitFactor * skewedShare
		static = max(0, sent-1/float64(len(b.Daemons))) / withinLimitFactor
	}
	return b.figureOf(figure{
		Name: name, Unit: "share", Value: float64(refused(samples)) / float64(len(samples)), Target: target{atMost, limit},
		Baseline: baseline{"a fixed part of the rate on each VM (computed)", static},
		Detail:   fmt.Sprintf("%d requests at %g of each rate, %s; VMs with errors: %s; %s", len(samples), withinLimitFactor, errorSummary(samples), b.vmsWithErrors(samples), quantiles(samples)),
	})
}

// measureVMFailure kills a VM, whose callers reconnect to others, and measures
// refusals until vmFailureWindow has passed.
func measureVMFailure(ctx context.Context, b *testbed) (result, error) {
	victim := b.Daemons[len(b.Daemons)-1]
	l := startLoad(ctx, b.Cluster, b.withinLimitStreams(false, b.allVMs))
	time.Sleep(vmFailureSettle)
	killed := l.elapsed()
	victim.Kill()
	b.ledger.countFaults(1)
	time.Sleep(removalDelay)
	victim.Remove()
	time.Sleep(vmFailureWindow - removalDelay)
	end := l.elapsed()
	samples := l.stop()
	if err := victim.Restart(ctx); err != nil {
		return result{}, err
	}
	f := b.refusedFigure("requests refused although inside the rate, through a VM's death", between(samples, killed, end), false, 0.001)
	f.Baseline = baseline{"one VM's part of all requests", 1 / float64(len(b.Daemons))}
	return result{figures: []figure{f}}, nil
}

// measureOverRate sends a multiple of one workspace's rate, spread over all VMs.
func measureOverRate(ctx context.Context, b *testbed) (result, error) {
	rate, burst := b.rates[floodWorkspace], b.rates[floodWorkspace]/2
	streams := []stream{{
		workspace: workspace(floodWorkspace), job: replicaJob(b.databases[0]), vms: b.allVMs(0), rate: rate * floodFactor,
		conns: floodConns, seed: b.seed, statement: readItem,
	}}
	l := startLoad(ctx, b.Cluster, streams)
	time.Sleep(b.scaled(ratePeriod))
	samples := l.stop()
	var admitted []sample
	for _, s := range samples {
		if s.code != codeRateLimited && s.code != codeConnect {
			admitted = append(admitted, s)
		}
	}
	return result{figures: []figure{b.figureOf(figure{
		Name: "requests admitted over rate x window + burst", Unit: "requests",
		Value:    math.Max(0, worstExcess(admitted, rate, burst)),
		Target:   target{atMost, 0},
		Baseline: baseline{"the same flood with the whole rate on each VM (computed)", rate * (math.Min(floodFactor, float64(len(b.Daemons))) - 1) * b.scaled(ratePeriod).Seconds()},
		Detail: fmt.Sprintf("%d sent at %g times the rate, %d admitted at rate %g burst %g, all windows; %s",
			len(samples), floodFactor, len(admitted), rate, burst, errorSummary(samples)),
	})}}, nil
}

// worstExcess returns the largest excess over rate x window + burst in any
// window. Only requests that were sent and answered within the window count,
// since these were certainly admitted in it.
func worstExcess(admitted []sample, rate, burst float64) float64 {
	slices.SortFunc(admitted, func(a, b sample) int { return int(a.done - b.done) })
	worst := math.Inf(-1)
	for _, first := range admitted {
		n := 0.0
		for _, s := range admitted {
			if s.sent < first.sent {
				continue
			}
			n++
			worst = max(worst, n-rate*(s.done-first.sent).Seconds()-burst)
		}
	}
	return worst
}
