package main

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/standin/upstream"
)

// The fairness trial: every workspace sends at its rate to one primary whose
// capacity is below the sum of the rates, and one of them sends a multiple of its
// rate.
const (
	noisyWorkspace    = 3
	noisyFactor       = 8.0
	fairnessStatement = 5 * time.Millisecond
	fairnessPeriod    = 8 * time.Second
	fairnessSettle    = 2 * time.Second
	fairnessConns     = 24
)

func measureFairness(ctx context.Context, b *testbed) (result, error) {
	b.eachUpstream(func(s *upstream.Server) { s.SetStatementDuration(fairnessStatement) })
	defer b.eachUpstream(func(s *upstream.Server) { s.SetStatementDuration(0) })
	var streams []stream
	demand := slices.Clone(b.rates)
	for i, rate := range b.rates {
		if i == noisyWorkspace {
			rate *= noisyFactor
		}
		streams = append(streams, stream{
			workspace: workspace(i), job: primaryJob(b.databases[0]), vms: b.allVMs(i), rate: rate,
			conns: fairnessConns, seed: b.seed + uint64(i), statement: readItem,
		})
	}
	l := startLoad(ctx, b.Cluster, streams)
	time.Sleep(fairnessSettle + b.scaled(fairnessPeriod))
	end := l.elapsed()
	samples := l.stop()
	served := servedRates(samples, len(streams), fairnessSettle, end)
	for i, s := range streams {
		if i != noisyWorkspace {
			demand[i] = arrivalRate(append(l.unsent, samples...), i, fairnessSettle, end, s.rate)
		}
	}
	return b.fairnessResult(served, demand, samples), nil
}

// servedRates returns the rate of successful requests of each stream.
func servedRates(samples []sample, streams int, from, to time.Duration) []float64 {
	rates := make([]float64, streams)
	for _, s := range samples {
		if s.code == codeOK && s.done >= from && s.done < to {
			rates[s.stream] += 1 / (to - from).Seconds()
		}
	}
	return rates
}

// arrivalRate returns the rate at which a stream's requests arrived in the
// period, at most its nominal rate.
func arrivalRate(samples []sample, stream int, from, to time.Duration, nominal float64) float64 {
	n := 0
	for _, s := range between(samples, from, to) {
		if s.stream == stream {
			n++
		}
	}
	return min(nominal, float64(n)/(to-from).Seconds())
}

func (b *testbed) fairnessResult(served, demand []float64, samples []sample) result {
	capacity := sum(served)
	fair := fairShares(demand, capacity)
	worst, fifo, total := math.Inf(1), math.Inf(1), sum(demand)
	lines := []curveLine{{Name: "served"}, {Name: "fair share"}}
	for i := range served {
		lines[0].XY = append(lines[0].XY, [2]float64{float64(i + 1), served[i]})
		lines[1].XY = append(lines[1].XY, [2]float64{float64(i + 1), fair[i]})
		if i != noisyWorkspace {
			worst = min(worst, served[i]/fair[i])
			fifo = min(fifo, capacity*demand[i]/total/fair[i])
		}
	}
	name := "worst-served workspace's share of its fair share"
	detail := fmt.Sprintf("workspace %d sends %g times its rate; %.0f requests/s served, %.0f/s asked; %s",
		noisyWorkspace+1, noisyFactor, capacity, total, errorSummary(samples))
	return result{
		figures: []figure{b.figureOf(figure{
			Name: name, Unit: "share", Value: worst, Target: target{atLeast, 0.95},
			Baseline: baseline{"one queue in order of arrival (computed from the same demand)", fifo}, Detail: detail,
		})},
		curves: []curve{{Name: name, Deployment: b.name, X: "workspace", Y: "requests per second", Lines: lines}},
	}
}

// fairShares divides a capacity by max-min fairness with equal weights: smallest
// demands first, each limited to an equal part of what is left.
func fairShares(demand []float64, capacity float64) []float64 {
	shares := make([]float64, len(demand))
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demand[a] < demand[b] {
			return -1
		}
		return 1
	})
	for n, i := range order {
		shares[i] = min(demand[i], capacity/float64(len(order)-n))
		capacity -= shares[i]
	}
	return shares
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}
