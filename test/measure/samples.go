package main

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Range and precision (significant digits) of latency histograms.
const (
	lowestLatency  = time.Microsecond
	highestLatency = time.Minute
	latencyDigits  = 3
)

// histogramOf returns a histogram of the latencies of successful requests, in
// microseconds.
func histogramOf(samples []sample) *hdrhistogram.Histogram {
	h := hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), latencyDigits)
	for _, s := range samples {
		if s.code == codeOK {
			// Latencies above the range are recorded as highestLatency.
			_ = h.RecordValue(min(s.latency(), highestLatency).Microseconds())
		}
	}
	return h
}

// percentileMilliseconds returns the q-th percentile of a histogram of microseconds.
func percentileMilliseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func quantiles(samples []sample) string {
	h := histogramOf(samples)
	return fmt.Sprintf("latency %.2f ms median, %.2f ms 99th percentile", percentileMilliseconds(h, 50), percentileMilliseconds(h, 99))
}

// errorSummary lists the error codes of the samples with their counts.
func errorSummary(samples []sample) string {
	counts := map[string]int{}
	for _, s := range samples {
		if s.code != codeOK {
			counts[s.code]++
		}
	}
	var list []string
	for code, n := range counts {
		list = append(list, fmt.Sprintf("%d x %s", n, code))
	}
	if len(list) == 0 {
		return "no errors"
	}
	sort.Strings(list)
	return "errors: " + strings.Join(list, ", ")
}

// vmsWithErrors lists the VMs on which requests failed, with their counts.
func (b *testbed) vmsWithErrors(samples []sample) string {
	counts := make([]int, len(b.Daemons))
	for _, s := range samples {
		if s.code != codeOK {
			counts[s.vm]++
		}
	}
	var list []string
	for i, n := range counts {
		if n > 0 {
			list = append(list, fmt.Sprintf("%s (%s) %d", b.Daemons[i].ID, b.Daemons[i].Zone, n))
		}
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// between returns the samples whose requests arrived in [from, to).
func between(samples []sample, from, to time.Duration) []sample {
	var list []sample
	for _, s := range samples {
		if s.arrival >= from && s.arrival < to {
			list = append(list, s)
		}
	}
	return list
}

// failed returns the number of requests that did not succeed.
func failed(samples []sample) int {
	n := 0
	for _, s := range samples {
		if s.code != codeOK {
			n++
		}
	}
	return n
}

// databaseOf returns the database of a job.
func (b *testbed) databaseOf(j model.Job) string {
	for _, database := range b.databases {
		if strings.HasPrefix(string(j), database+"-") {
			return database
		}
	}
	return ""
}

// latencyCurve returns the latency by percentile.
func latencyCurve(b *testbed, name string, samples []sample) curve {
	h := histogramOf(samples)
	line := curveLine{Name: name}
	for _, q := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9} {
		line.XY = append(line.XY, [2]float64{q, percentileMilliseconds(h, q)})
	}
	return curve{
		Name: name + ": latency with the links' delays", Deployment: b.name, X: "percentile", Y: "milliseconds",
		Lines: []curveLine{line},
	}
}
