package main

import (
	"context"
	"fmt"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Load, periods and target of draining and restoring a zone. drainTarget is in
// seconds.
const (
	zoneLoad    = 0.3
	zonePeriod  = 7 * time.Second
	returnWait  = 5 * time.Second
	drainTarget = 3.0
)

func measureZone(ctx context.Context, b *testbed) (result, error) {
	zone := b.zones[0]
	streams := b.ordinaryStreams(zoneLoad, ordinaryWrites)
	l := startLoad(ctx, b.Cluster, streams)
	before := b.statementsIn(zone)
	time.Sleep(settlePeriod)
	before = b.statementsIn(zone) - before
	left := l.elapsed()
	err := b.ctlNoWait(ctx, "zone", "drain", zone)
	lastStatement := b.lastStatement(l, zone, b.scaled(zonePeriod))
	after := b.statementsIn(zone)
	returned := l.elapsed()
	// Daemons of a drained zone still serve operators, so any daemon can restore it.
	if e := b.ctlNoWait(ctx, "zone", "restore", zone); err == nil {
		err = e
	}
	time.Sleep(returnWait)
	after = b.statementsIn(zone) - after
	end := l.elapsed()
	samples := l.stop()
	b.ledger.record(streams, b.databaseOf, samples)
	b.ledger.countFaults(2)
	if err != nil {
		return result{}, err
	}
	leaving, returning := between(samples, left, returned), between(samples, returned, end)
	inZone := float64(b.vmsIn(zone)) / float64(len(b.Daemons))
	return result{figures: []figure{
		b.failedFigure("failed requests while a zone leaves", leaving, inZone, l),
		b.failedFigure("failed requests while a zone returns", returning, inZone, l),
		b.figureOf(figure{
			Name: "last new work in a zone after it left", Unit: "s", Value: (lastStatement - left).Seconds(),
			Target:   target{atMost, drainTarget},
			Baseline: baseline{"the zone without the drain: work until the end of the watch", (returned - left).Seconds()},
			Detail: fmt.Sprintf("last statement of a caller that an upstream of the zone started, counted from the operator's command; "+
				"%d in the second before it, %d in %s after the zone's return", before, after, returnWait),
		}),
	}}, nil
}

func (b *testbed) failedFigure(name string, samples []sample, inZone float64, l *load) figure {
	return b.figureOf(figure{
		Name: name, Unit: "requests", Value: float64(failed(samples)), Target: target{atMost, 0},
		Baseline: baseline{"requests that the zone's VMs serve in the same time (computed)", inZone * float64(len(samples))},
		Detail:   fmt.Sprintf("%d requests, %s; VMs with errors: %s; %s; %s", len(samples), errorSummary(samples), b.vmsWithErrors(samples), l.connectErrorSummary(), quantiles(samples)),
	})
}

func (b *testbed) vmsIn(zone string) int {
	n := 0
	for _, d := range b.Daemons {
		if d.Zone == zone {
			n++
		}
	}
	return n
}

// lastStatement polls the upstreams of a zone for a period and returns when one
// of them last started a statement.
func (b *testbed) lastStatement(l *load, zone string, period time.Duration) time.Duration {
	last := l.elapsed()
	count := b.statementsIn(zone)
	for end := last + period; l.elapsed() < end; time.Sleep(pollInterval) {
		if n := b.statementsIn(zone); n != count {
			count = n
			last = l.elapsed()
		}
	}
	return last
}

func (b *testbed) statementsIn(zone string) int {
	n := 0
	for i := range b.Document.Databases {
		db := &b.Document.Databases[i]
		for k, u := range db.Upstreams {
			if u.Zone == model.Zone(zone) {
				n += b.Groups[string(db.Name)].Upstreams[k].Counters().Statements
			}
		}
	}
	return n
}
