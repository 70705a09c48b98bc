package property

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/connshare"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// vm is one simulated VM: the reducers, and what the runtime does for them.
type vm struct {
	c           *cluster
	id          model.VMID
	zone        model.Zone
	incarnation uint64
	alive       bool
	paused      bool
	// listed and leaving are what the platform's list shows.
	listed  bool
	leaving bool
	// offset and ppm make the VM's clock.
	offset int64
	ppm    int64
	// heard has the newest time of each peer's clock that a report carried.
	heard map[model.VMID]stamp
	// backlog has what arrived while the VM was paused.
	backlog []func()

	m *membership.State
	// limits and connections are nil in properties that do not need them.
	l *limits.State
	s *connshare.State
	// conns has the runtime's connections of each upstream.
	conns map[model.UpstreamID]*pool
	// stuck is true when connections above the budget do not become idle.
	stuck bool
	// onStart sets up the VM after each start, onLimits takes the effects of
	// limits that concern callers.
	onStart  func(*vm)
	onLimits func(*vm, limits.Effect)
}

// stamp is a time of the clock of one incarnation of a VM.
type stamp struct {
	incarnation uint64
	at          model.Time
}

// clock returns the VM's time.
func (v *vm) clock() model.Time {
	return model.Time(v.offset + v.c.now + v.c.now/1_000_000*v.ppm)
}

// start starts the VM in a new incarnation with another clock.
func (v *vm) start() {
	if v.alive {
		return
	}
	v.incarnation++
	v.alive, v.listed, v.leaving, v.paused = true, true, false, false
	v.offset = v.c.rng.Int63n(int64(1000 * time.Second))
	v.ppm = v.c.rng.Int63n(2*clockRatePPM) - clockRatePPM
	v.stuck = v.c.faulty && v.c.rng.Intn(2) == 0
	v.heard = map[model.VMID]stamp{}
	v.backlog = nil
	v.conns = map[model.UpstreamID]*pool{}
	v.m = membership.New(membership.Config{Self: v.id, Zone: v.zone, Incarnation: v.incarnation})
	v.member(membership.Event{Kind: membership.EventZones, Zones: v.c.zones})
	if v.onStart != nil {
		v.onStart(v)
	}
	for _, it := range v.c.items {
		v.member(membership.Event{Kind: membership.EventTrack, Item: it})
	}
	v.periodic(tickEvery, v.tick)
	v.periodic(reportEvery, v.sendReports)
}

// periodic runs fn until the VM's incarnation ends.
func (v *vm) periodic(d time.Duration, fn func()) {
	incarnation := v.incarnation
	v.c.after(d, func() {
		if v.incarnation != incarnation || !v.alive {
			return
		}
		if !v.paused {
			fn()
		}
		v.periodic(d, fn)
	})
}

// do runs fn in the VM, after its pause, unless the incarnation has ended.
func (v *vm) do(incarnation uint64, fn func()) {
	switch {
	case !v.alive || v.incarnation != incarnation:
	case v.paused:
		v.backlog = append(v.backlog, fn)
	default:
		fn()
	}
}

// crash ends the VM; the platform notices later.
func (v *vm) crash() {
	if !v.alive {
		return
	}
	v.alive = false
	v.c.relist(v.zone)
	incarnation := v.incarnation
	v.c.after(time.Duration(v.c.rng.Intn(10_000))*time.Millisecond, func() {
		if !v.alive && v.incarnation == incarnation {
			v.listed = false
		}
	})
}

func (v *vm) pause(d time.Duration) {
	if !v.alive || v.paused {
		return
	}
	v.paused = true
	incarnation := v.incarnation
	v.c.after(d, func() {
		if !v.alive || v.incarnation != incarnation {
			return
		}
		v.paused = false
		backlog := v.backlog
		v.backlog = nil
		for _, fn := range backlog {
			fn()
		}
	})
}

// stop makes the VM leave in an orderly way.
func (v *vm) stop() {
	if !v.alive || v.leaving {
		return
	}
	v.leaving = true
	v.c.relist(v.zone)
	incarnation := v.incarnation
	v.do(incarnation, func() { v.member(membership.Event{Kind: membership.EventStopping}) })
	v.c.after(8*time.Second, func() {
		if v.incarnation == incarnation {
			v.crash()
		}
	})
}

func (v *vm) tick() {
	v.member(membership.Event{Kind: membership.EventTick})
	if v.l != nil {
		v.limit(limits.Event{Kind: limits.EventTick})
	}
	if v.s != nil {
		v.share(connshare.Event{Kind: connshare.EventTick})
		v.runPools()
	}
	if v.leaving && v.drained() {
		v.member(membership.Event{Kind: membership.EventStopped})
	}
}

// sendReports sends the own zone's report to all VMs, and reports about zones
// without members to those of the own zone.
func (v *vm) sendReports() {
	for _, z := range v.c.sortedZones() {
		r := v.m.Report(v.clock(), z)
		if z != v.zone && len(r.Record.Members) > 0 {
			continue
		}
		for _, peer := range v.c.vms {
			if peer == v || (z != v.zone && peer.zone != v.zone) {
				continue
			}
			v.sendReport(r, peer.id)
		}
	}
}

func (v *vm) sendReport(r membership.Report, to model.VMID) {
	sent := stamp{incarnation: v.incarnation, at: v.clock()}
	echo := v.heard[to]
	v.c.send(v, to, func(w *vm) {
		if old := w.heard[r.From]; sent.incarnation > old.incarnation || (sent.incarnation == old.incarnation && sent.at > old.at) {
			w.heard[r.From] = sent
		}
		ev := membership.Event{Kind: membership.EventReport, Report: r}
		if echo.incarnation == w.incarnation {
			ev.SentAt = echo.at
		}
		w.member(ev)
	})
}

// member applies an event to membership and carries its effects out.
func (v *vm) member(ev membership.Event) {
	for _, e := range v.m.Apply(v.clock(), &ev, nil) {
		switch e.Kind {
		case membership.EffectReadRecord:
			v.readRecord(e.Zone)
		case membership.EffectWriteRecord:
			v.writeRecord(e)
		case membership.EffectGained:
			v.gained(e)
		case membership.EffectLost:
			v.lost(e)
		case membership.EffectConfirmed:
			v.confirmed(e)
		case membership.EffectRecordChanged:
			v.tellOwners()
		}
	}
}

func (v *vm) readRecord(z model.Zone) {
	var got stored
	sentAt := v.clock()
	v.c.call(v, func() { got = v.c.records[z] }, func(arrived bool) {
		if !arrived {
			v.member(membership.Event{Kind: membership.EventReadFailed, Zone: z})
			return
		}
		got.record.Zone = z
		v.member(membership.Event{
			Kind: membership.EventRecordRead, Record: got.record, Revision: got.revision, SentAt: sentAt,
		})
	})
}

func (v *vm) writeRecord(e membership.Effect) {
	done := membership.Event{Kind: membership.EventWriteDone, SentAt: v.clock()}
	op := func() {
		done.Outcome = membership.WriteConflict
		if v.c.records[e.Zone].revision == e.Revision {
			done.Outcome = membership.WriteDone
			v.c.records[e.Zone] = stored{record: e.Record, revision: e.Revision + 1}
		}
		done.Record = v.c.records[e.Zone].record
		done.Revision = v.c.records[e.Zone].revision
	}
	v.c.call(v, op, func(arrived bool) {
		if !arrived {
			done = membership.Event{Kind: membership.EventWriteDone, Outcome: membership.WriteUnknown}
		}
		done.Record.Zone = e.Zone
		v.member(done)
	})
}

// gained passes an ownership to its reducer.
func (v *vm) gained(e membership.Effect) {
	switch {
	case e.Item.Kind == membership.Tokens && v.l != nil:
		v.limit(limits.Event{
			Kind: limits.EventGained, Workspace: model.Workspace(e.Item.Name),
			Epoch: e.Epoch, Until: e.Until, Balance: e.Balance,
		})
	case e.Item.Kind != membership.Tokens && v.s != nil:
		v.share(connshare.Event{
			Kind: connshare.EventGained, Upstream: model.UpstreamID(e.Item.Name),
			Seat: seatOf(e.Item), Until: e.Until,
		})
	}
}

// lost passes a lost ownership to its reducer, which releases it; without the
// reducer it is released at once.
func (v *vm) lost(e membership.Effect) {
	switch {
	case e.Item.Kind == membership.Tokens && v.l != nil:
		v.limit(limits.Event{
			Kind: limits.EventLost, Workspace: model.Workspace(e.Item.Name),
			VM: e.To, Zone: e.Zone, Epoch: e.Epoch,
		})
	case e.Item.Kind != membership.Tokens && v.s != nil:
		v.share(connshare.Event{
			Kind: connshare.EventLost, Upstream: model.UpstreamID(e.Item.Name),
			Seat: seatOf(e.Item), VM: e.To, Zone: e.Zone, Epoch: e.Epoch,
		})
	case e.To != "":
		v.sendRelease(e.Item, e.To, e.Zone, e.Epoch, 0)
	}
}

func (v *vm) sendRelease(it membership.Item, to model.VMID, z model.Zone, epoch uint64, balance int64) {
	v.c.send(v, to, func(w *vm) {
		w.member(membership.Event{
			Kind: membership.EventRelease, Item: it, Zone: z, Epoch: epoch, Balance: balance,
		})
	})
}

func (v *vm) confirmed(e membership.Effect) {
	if v.l != nil && e.Zone == v.zone {
		v.limit(limits.Event{Kind: limits.EventConfirmed, Until: e.Until})
	}
	if v.s != nil {
		v.share(connshare.Event{Kind: connshare.EventConfirmed, Zone: e.Zone, Until: e.Until})
	}
}

// tellOwners tells limits who owns the shares.
func (v *vm) tellOwners() {
	if v.l == nil {
		return
	}
	for _, it := range v.c.items {
		if it.Kind != membership.Tokens {
			continue
		}
		owner, _, _ := v.m.Owner(it)
		v.limit(limits.Event{
			Kind: limits.EventOwner, Workspace: model.Workspace(it.Name), Zone: it.Zone, VM: owner,
		})
	}
}

func seatOf(it membership.Item) connshare.Seat {
	if it.Kind == membership.StandbySeat {
		return connshare.Standby
	}
	return connshare.Main
}
