package main

import (
	"context"
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/chervilhatch/chervilhatch/standin/upstream"
)

// Load of an ordinary day: half of each workspace's rate, a tenth of it writes,
// and sessions that send two requests per second and change VMs after ten.
const (
	ordinaryLoad    = 0.5
	ordinaryWrites  = 0.1
	sessionRate     = 2.0
	requestsPerVM   = 10
	ordinaryPeriod  = 12 * time.Second
	settlePeriod    = time.Second
	pinAfterWrite   = time.Second
	minimumSessions = 2
)

// ordinaryStreams returns streams that spread a share of each workspace's rate
// over all databases and VMs.
func (b *testbed) ordinaryStreams(share, writes float64) []stream {
	var list []stream
	for i, rate := range b.rates {
		for n, database := range b.databases {
			rate := rate * share / float64(len(b.databases))
			list = append(list, stream{
				workspace: workspace(i), job: replicaJob(database), vms: b.allVMs(i + n), rate: rate,
				conns: max(minimumSessions, int(math.Ceil(rate/sessionRate))), moveAfter: requestsPerVM,
				seed: b.seed + uint64(len(list)), statement: mixed(writes),
			})
		}
	}
	return list
}

func measureReads(ctx context.Context, b *testbed) (result, error) {
	b.eachUpstream(func(s *upstream.Server) { s.SetApplyDelay(replicaLag) })
	defer b.eachUpstream(func(s *upstream.Server) { s.SetApplyDelay(0) })
	streams := b.ordinaryStreams(ordinaryLoad, ordinaryWrites)
	l := startLoad(ctx, b.Cluster, streams)
	time.Sleep(settlePeriod)
	primaryBefore, replicasBefore := b.statementsStarted()
	time.Sleep(b.scaled(ordinaryPeriod))
	primary, replicas := b.statementsStarted()
	samples := l.stop()
	b.ledger.record(streams, b.databaseOf, samples)
	onReplicas := float64(replicas - replicasBefore)
	total := onReplicas + float64(primary-primaryBefore)
	reads := total - total*writeShare(samples)
	return result{
		figures: []figure{b.figureOf(figure{
			Name: "share of reads served by replicas", Unit: "share",
			Value:    onReplicas / reads,
			Target:   target{atLeast, 0.95},
			Baseline: baseline{"reads pinned to the primary for 1 s after a write of the session (computed from the same requests)", pinnedShare(samples)},
			Detail:   fmt.Sprintf("%d requests, %s, replicas 50 ms behind; %s", len(samples), errorSummary(samples), quantiles(samples)),
		})},
		curves: []curve{latencyCurve(b, "ordinary day", samples)},
	}, nil
}

// statementsStarted returns how many statements of callers the primaries and the
// replicas have started.
func (b *testbed) statementsStarted() (primary, replicas int) {
	for _, g := range b.Groups {
		p := g.Primary()
		for _, s := range g.Upstreams {
			if s == p {
				primary += s.Counters().Statements
			} else {
				replicas += s.Counters().Statements
			}
		}
	}
	return primary, replicas
}

func writeShare(samples []sample) float64 {
	writes := 0
	for _, s := range samples {
		if s.write {
			writes++
		}
	}
	return float64(writes) / float64(len(samples))
}

// pinnedShare returns the share of reads that could go to a replica if a session
// were pinned to the primary for pinAfterWrite after each write. The rate per
// session follows from the stream's rate and number of connections.
func pinnedShare(samples []sample) float64 {
	lastWrite := map[int]time.Duration{}
	sort.Slice(samples, func(i, j int) bool { return samples[i].sent < samples[j].sent })
	reads, free := 0, 0
	for _, s := range samples {
		if s.write {
			lastWrite[s.session] = s.done
			continue
		}
		reads++
		if written, ok := lastWrite[s.session]; !ok || s.sent-written > pinAfterWrite {
			free++
		}
	}
	return float64(free) / float64(reads)
}

// eachUpstream calls f for all upstreams.
func (b *testbed) eachUpstream(f func(*upstream.Server)) {
	for _, g := range b.Groups {
		for _, s := range g.Upstreams {
			f(s)
		}
	}
}
