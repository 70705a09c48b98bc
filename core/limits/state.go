// Package limits admits requests by tokens. Each workspace's rate and burst
// are split over the zones in service; one VM owns a zone's share, refills it,
// and grants tokens to the VMs of the zone and to the owners in other zones.
//
// # Sum of the shares
//
// While a configuration takes effect, some VMs use the old split and some the
// new one. An owner lowers its share as soon as it learns a configuration that
// lowers it, and raises it only Config.Settle after EventSettled has told that
// no VM uses an older configuration. So each owner's share is at most the one
// of the newest settled configuration, whose shares sum to the rate and burst.
// A VM without an earlier configuration does not know the older split, so its
// share is 0 until the configuration is settled.
//
// # Bound on a window
//
// A token is debited from one bucket before it is used, and is used at most
// validity after that. The buckets hold at most burst - rate x validity in
// total, lent tokens on their way included. So the tokens used in a window are
// at most what the buckets held one validity before it, plus the refill since:
// burst + rate x window.
//
// The package is pure: Apply is its only way to change.
package limits

import (
	"sort"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// State has the tokens of all workspaces at this VM.
type State struct {
	config     Config
	now        model.Time
	workspaces map[model.Workspace]*workspace
	// sorted has the workspaces by name, so that effects do not depend on map
	// sorted.
	sorted      []*workspace
	nextRequest uint64
	// rolledOut is the newest version known to be in force everywhere, since
	// settledAt; usable is the newest whose raised shares may be used.
	rolledOut     uint64
	rolledOutAt   model.Time
	raisedVersion uint64
}

// New returns a State without workspaces.
func New(c Config) *State {
	c.setDefaults()
	return &State{
		config:      c,
		workspaces:  make(map[model.Workspace]*workspace),
		nextRequest: c.FirstRequestID,
	}
}

// Apply processes one event and appends its effects to out. Time that goes
// backwards counts as standing still.
func (s *State) Apply(now model.Time, ev *Event, out []Effect) []Effect {
	s.now = max(s.now, now)
	switch ev.Kind {
	case EventTick:
		return s.tick(out)
	case EventRolledOut:
		s.markRolledOut(ev.Version)
		return out
	case EventConfirmed:
		s.confirm(ev.Until)
		return out
	case EventConfigure:
		return s.configure(ev, out)
	case EventAdmit:
		return s.admit(ev, out)
	}
	w := s.workspaces[ev.Workspace]
	if w == nil {
		return s.unknownWorkspace(ev, out)
	}
	w.grants.expire(s.now)
	w.bucket.refill(s.now)
	return s.applyToWorkspace(w, ev, out)
}

// applyToWorkspace processes the events that need a workspace.
func (s *State) applyToWorkspace(w *workspace, ev *Event, out []Effect) []Effect {
	switch ev.Kind {
	case EventRemove:
		return s.removeWorkspace(w, out)
	case EventGained:
		s.gain(w, ev)
	case EventLost:
		out = s.lose(w, ev, out)
	case EventOwner:
		s.setOwner(w, ev)
	case EventCancel:
		s.cancel(w, ev.ID)
	case EventTokenResponse:
		s.handleTokenResponse(w, ev)
	case EventTokenRequestFailed:
		s.handleRequestFailure(w, ev.RequestID)
	case EventTokenRequest:
		out = s.handleTokenRequest(w, ev, out)
	}
	return s.serve(w, out)
}

// unknownWorkspace answers a peer's request, so that it need not time out.
func (s *State) unknownWorkspace(ev *Event, out []Effect) []Effect {
	if ev.Kind != EventTokenRequest {
		return out
	}
	return append(out, emptyResponse(ev))
}

func (s *State) configure(ev *Event, out []Effect) []Effect {
	w := s.workspaces[ev.Workspace]
	if w == nil {
		w = &workspace{name: ev.Workspace, demand: demand{updatedAt: s.now}}
		s.workspaces[w.name] = w
		s.insertWorkspace(w)
	}
	if ev.Version < w.version {
		return out
	}
	w.version = ev.Version
	w.rate = ev.Rate
	w.burst = ev.Burst
	w.targetShare = s.zoneShare(ev)
	s.applyShare(w)
	return s.serve(w, out)
}

// zoneShare returns this zone's share: equal parts for the zones in service. The
// rate is reduced by the bound on the clock's rate error.
func (s *State) zoneShare(ev *Event) share {
	zones := int64(len(ev.Zones))
	for _, z := range ev.Zones {
		if z == s.config.Zone {
			rate := ev.Rate / zones
			return share{rate: rate - (rate*s.config.MaxClockDriftPPM+microsPerSecond-1)/microsPerSecond, burst: ev.Burst / zones}
		}
	}
	return share{}
}

// applyShare lowers the share at once and raises it when its version is settled.
func (s *State) applyShare(w *workspace) {
	next := w.targetShare
	if w.version > s.raisedVersion {
		next = w.bucket.share.min(w.targetShare)
	}
	w.bucket.setShare(s.now, next, w.validityForShare(next, s.config.Validity))
}

func (s *State) insertWorkspace(w *workspace) {
	i := sort.Search(len(s.sorted), func(i int) bool { return s.sorted[i].name >= w.name })
	s.sorted = append(s.sorted, nil)
	copy(s.sorted[i+1:], s.sorted[i:])
	s.sorted[i] = w
}

func (s *State) removeWorkspace(w *workspace, out []Effect) []Effect {
	for len(w.queued()) > 0 {
		out = append(out, refusal(w, w.popWaiter()))
	}
	out = s.respondToAll(w, out)
	delete(s.workspaces, w.name)
	i := sort.Search(len(s.sorted), func(i int) bool { return s.sorted[i].name >= w.name })
	s.sorted = append(s.sorted[:i], s.sorted[i+1:]...)
	return out
}

func (s *State) markRolledOut(version uint64) {
	if version > s.rolledOut {
		s.rolledOut = version
		s.rolledOutAt = s.now
	}
}

// raiseShares applies the raised shares of settled configurations.
func (s *State) raiseShares() {
	if s.raisedVersion == s.rolledOut || s.now.Sub(s.rolledOutAt) < s.config.RaiseDelay {
		return
	}
	s.raisedVersion = s.rolledOut
	for _, w := range s.sorted {
		s.applyShare(w)
	}
}

func (s *State) confirm(until model.Time) {
	for _, w := range s.sorted {
		w.bucket.confirm(s.now, until)
	}
}

// gain starts the ownership of the share. The refill starts when nothing that
// the last owner lent can still be on its way, so that it is not counted twice.
func (s *State) gain(w *workspace, ev *Event) {
	if w.bucket.owned && w.bucket.epoch == ev.Epoch {
		w.bucket.confirm(s.now, ev.Until)
		return
	}
	from := s.now.Add(withClockMargin(s.config.Validity))
	w.bucket.gain(from, ev.Until, ev.Epoch, ev.Balance)
}

// lose ends the ownership and hands the balance over to the next owner.
func (s *State) lose(w *workspace, ev *Event, out []Effect) []Effect {
	if !w.bucket.owned {
		return out
	}
	w.bucket.owned = false
	balance := w.bucket.balance
	w.bucket.balance = 0
	out = s.respondToAll(w, out)
	if ev.VM == "" {
		return out
	}
	return append(out, Effect{
		Kind: EffectRelease, Workspace: w.name, Zone: ev.Zone, VM: ev.VM,
		Epoch: ev.Epoch, Balance: balance,
	})
}

func (s *State) setOwner(w *workspace, ev *Event) {
	o := w.ownerOf(ev.Zone)
	if o == nil {
		i := sort.Search(len(w.owners), func(i int) bool { return w.owners[i].zone >= ev.Zone })
		w.owners = append(w.owners, owner{})
		copy(w.owners[i+1:], w.owners[i:])
		w.owners[i] = owner{zone: ev.Zone}
		o = &w.owners[i]
	}
	if o.vm != ev.VM {
		o.retryAt, o.unreachableUntil = 0, 0
	}
	o.vm = ev.VM
	o.epoch = ev.Epoch
}

func (s *State) tick(out []Effect) []Effect {
	s.raiseShares()
	for _, w := range s.sorted {
		if w.idle() {
			w.demand.updatedAt = s.now
			continue
		}
		w.grants.expire(s.now)
		w.bucket.refill(s.now)
		w.demand.update(s.now)
		s.failTimedOutRequests(w)
		out = s.refuseExpired(w, out)
		out = s.serve(w, out)
	}
	return out
}

// retryAfter estimates when a workspace's request could succeed.
func retryAfter(w *workspace, cost int64) time.Duration {
	if w.rate <= 0 {
		return time.Second
	}
	return time.Duration((w.queuedCost+cost)*microsPerSecond/w.rate) * time.Microsecond
}
