package property

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/connshare"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// vm is a simulated VM: its reducers, and a stand-in for the runtime that carries
// out their effects.
type vm struct {
	c           *cluster
	id          model.VMID
	zone        model.Zone
	incarnation uint64
	alive       bool
	paused      bool
	// listed and leaving are the VM's state in the platform's list.
	listed  bool
	leaving bool
	// clockOffset, in nanoseconds, and clockDriftPPM define the VM's clock.
	clockOffset   int64
	clockDriftPPM int64
	// peerClocks has the newest reading of each peer's clock received with a
	// report. Reports echo it to the peer, as the basis of Event.SentAt.
	peerClocks map[model.VMID]clockReading
	// backlog has the calls to run when the VM resumes from a pause.
	backlog []func()

	membershipState *membership.State
	// limitsState and connshareState are nil in tests that do not need them.
	limitsState    *limits.State
	connshareState *connshare.State
	// pools has the runtime's connection pool of each upstream.
	pools map[model.UpstreamID]*pool
	// connsStayBusy is set if connections above the budget never become idle.
	connsStayBusy bool
	// onStart sets up the VM after each start. onLimits receives the effects of
	// limits that concern callers.
	onStart  func(*vm)
	onLimits func(*vm, limits.Effect)
}

// clockReading is a reading of the clock of one incarnation of a VM.
type clockReading struct {
	incarnation uint64
	at          model.Time
}

// clock returns the time on the VM's own clock.
func (v *vm) clock() model.Time {
	return model.Time(v.clockOffset + v.c.now + v.c.now/1_000_000*v.clockDriftPPM)
}

// start starts the VM in a new incarnation with a new random clock.
func (v *vm) start() {
	if v.alive {
		return
	}
	v.incarnation++
	v.alive, v.listed, v.leaving, v.paused = true, true, false, false
	v.clockOffset = v.c.rng.Int63n(int64(1000 * time.Second))
	v.clockDriftPPM = v.c.rng.Int63n(2*maxClockDriftPPM) - maxClockDriftPPM
	v.connsStayBusy = v.c.faultsEnabled && v.c.rng.Intn(2) == 0
	v.peerClocks = map[model.VMID]clockReading{}
	v.backlog = nil
	v.pools = map[model.UpstreamID]*pool{}
	v.membershipState = membership.New(membership.Config{Self: v.id, Zone: v.zone, Incarnation: v.incarnation})
	v.applyMembership(membership.Event{Kind: membership.EventZones, Zones: v.c.zones})
	if v.onStart != nil {
		v.onStart(v)
	}
	for _, it := range v.c.items {
		v.applyMembership(membership.Event{Kind: membership.EventTrack, Item: it})
	}
	v.periodic(tickInterval, v.tick)
	v.periodic(reportInterval, v.sendReports)
}

// periodic runs fn at intervals of d until the VM's incarnation ends, except while
// the VM is paused.
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

// runInVM runs fn in the VM, or after the pause if the VM is paused. It does
// nothing if the incarnation has ended.
func (v *vm) runInVM(incarnation uint64, fn func()) {
	switch {
	case !v.alive || v.incarnation != incarnation:
	case v.paused:
		v.backlog = append(v.backlog, fn)
	default:
		fn()
	}
}

// crash stops the VM at once. The platform's list drops it within 10 s.
func (v *vm) crash() {
	if !v.alive {
		return
	}
	v.alive = false
	v.c.relistZone(v.zone)
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

// stop shuts the VM down gracefully; after 8 s, it exits.
func (v *vm) stop() {
	if !v.alive || v.leaving {
		return
	}
	v.leaving = true
	v.c.relistZone(v.zone)
	incarnation := v.incarnation
	v.runInVM(incarnation, func() { v.applyMembership(membership.Event{Kind: membership.EventStopping}) })
	v.c.after(8*time.Second, func() {
		if v.incarnation == incarnation {
			v.crash()
		}
	})
}

func (v *vm) tick() {
	v.applyMembership(membership.Event{Kind: membership.EventTick})
	if v.limitsState != nil {
		v.limit(limits.Event{Kind: limits.EventTick})
	}
	if v.connshareState != nil {
		v.share(connshare.Event{Kind: connshare.EventTick})
		v.runPools()
	}
	if v.leaving && v.drained() {
		v.applyMembership(membership.Event{Kind: membership.EventStopped})
	}
}

// sendReports sends the report about the own zone to all VMs, and reports about
// empty zones to the VMs of the own zone.
func (v *vm) sendReports() {
	for _, z := range v.c.sortedZones() {
		r := v.membershipState.Report(v.clock(), z)
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
	sent := clockReading{incarnation: v.incarnation, at: v.clock()}
	echo := v.peerClocks[to]
	v.c.send(v, to, func(w *vm) {
		if old := w.peerClocks[r.From]; sent.incarnation > old.incarnation || (sent.incarnation == old.incarnation && sent.at > old.at) {
			w.peerClocks[r.From] = sent
		}
		ev := membership.Event{Kind: membership.EventReport, Report: r}
		if echo.incarnation == w.incarnation {
			ev.SentAt = echo.at
		}
		w.applyMembership(ev)
	})
}

// applyMembership applies an event to membership and carries out its effects.
func (v *vm) applyMembership(ev membership.Event) {
	for _, e := range v.membershipState.Apply(v.clock(), &ev, nil) {
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
			v.applyOwners()
		}
	}
}

func (v *vm) readRecord(z model.Zone) {
	var got storedRecord
	sentAt := v.clock()
	v.c.callStore(v, func() { got = v.c.records[z] }, func(answered bool) {
		if !answered {
			v.applyMembership(membership.Event{Kind: membership.EventReadFailed, Zone: z})
			return
		}
		got.record.Zone = z
		v.applyMembership(membership.Event{
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
			v.c.records[e.Zone] = storedRecord{record: e.Record, revision: e.Revision + 1}
		}
		done.Record = v.c.records[e.Zone].record
		done.Revision = v.c.records[e.Zone].revision
	}
	v.c.callStore(v, op, func(answered bool) {
		if !answered {
			done = membership.Event{Kind: membership.EventWriteDone, Outcome: membership.WriteUnknown}
		}
		done.Record.Zone = e.Zone
		v.applyMembership(done)
	})
}

// gained passes a gained item to the reducer that uses it.
func (v *vm) gained(e membership.Effect) {
	switch {
	case e.Item.Kind == membership.Tokens && v.limitsState != nil:
		v.limit(limits.Event{
			Kind: limits.EventGained, Workspace: model.Workspace(e.Item.Name),
			Epoch: e.Epoch, Until: e.Until, Balance: e.Balance,
		})
	case e.Item.Kind != membership.Tokens && v.connshareState != nil:
		v.share(connshare.Event{
			Kind: connshare.EventGained, Upstream: model.UpstreamID(e.Item.Name),
			Seat: seatOf(e.Item), Until: e.Until,
		})
	}
}

// lost passes a lost item to the reducer that uses it, which releases the item
// later. Without that reducer, the item is released at once.
func (v *vm) lost(e membership.Effect) {
	switch {
	case e.Item.Kind == membership.Tokens && v.limitsState != nil:
		v.limit(limits.Event{
			Kind: limits.EventLost, Workspace: model.Workspace(e.Item.Name),
			VM: e.To, Zone: e.Zone, Epoch: e.Epoch,
		})
	case e.Item.Kind != membership.Tokens && v.connshareState != nil:
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
		w.applyMembership(membership.Event{
			Kind: membership.EventRelease, Item: it, Zone: z, Epoch: epoch, Balance: balance,
		})
	})
}

func (v *vm) confirmed(e membership.Effect) {
	if v.limitsState != nil && e.Zone == v.zone {
		v.limit(limits.Event{Kind: limits.EventConfirmed, Until: e.Until})
	}
	if v.connshareState != nil {
		v.share(connshare.Event{Kind: connshare.EventConfirmed, Zone: e.Zone, Until: e.Until})
	}
}

// applyOwners passes the owners of the token shares to limits.
func (v *vm) applyOwners() {
	if v.limitsState == nil {
		return
	}
	for _, it := range v.c.items {
		if it.Kind != membership.Tokens {
			continue
		}
		owner, _, _ := v.membershipState.Owner(it)
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
