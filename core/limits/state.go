// Package limits admits requests with distributed token buckets. The rate and
// burst of each workspace are split over the zones in service. One VM owns a
// zone's share: it refills the share's bucket and grants tokens to the other
// VMs of the zone and to the owners of other zones.
//
// # Sum of the shares
//
// While a new configuration is being rolled out, some VMs use the old split and
// some the new one. An owner lowers its share as soon as it receives a
// configuration that lowers it. It raises its share only Config.RaiseDelay
// after EventRolledOut has reported that no VM uses an older configuration.
// Each owner's share is therefore at most its share in the newest rolled-out
// configuration, and those shares sum to the rate and burst. A VM without an
// earlier configuration does not know the old split, so its share is 0 until
// the configuration is rolled out.
//
// # Bound over a time window
//
// A token is debited from one bucket before it is used, and is used within the
// validity after the debit. The buckets, with the loans in flight, hold at most
// burst - rate x validity in total. So the tokens used in a window are at most
// what the buckets held one validity before the window began, plus the refill
// since then: burst + rate x window.
//
// The package does no I/O and reads no clock; state changes only through Apply.
package limits

import (
	"sort"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// State holds the token buckets, grants and queues of all workspaces at this
// VM.
type State struct {
	config     Config
	now        model.Time
	workspaces map[model.Workspace]*workspace
	// sorted has the workspaces by name, so that the order of effects does not
	// depend on map iteration.
	sorted      []*workspace
	nextRequest uint64
	// rolledOut is the newest version known to be in force on every VM, since
	// rolledOutAt. raisedVersion is the newest version for which raised shares
	// are applied.
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

// Apply processes one event and appends its effects to out. A time before that
// of an earlier event counts as that earlier time.
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

// applyToWorkspace processes the events that concern an existing workspace.
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

// unknownWorkspace responds with no tokens to a peer's request, so that the
// peer does not wait for a timeout.
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

// zoneShare returns this zone's share, which is an equal part for each zone in
// service. The rate is reduced by Config.MaxClockDriftPPM, so that a fast clock
// does not add more tokens than the rate allows.
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

// applyShare lowers the share immediately, and raises it only once its version
// may be raised.
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

// raiseShares applies the raised shares of the rolled-out configuration after
// Config.RaiseDelay.
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

// gain starts the ownership of the share. The refill starts once no tokens lent
// by the previous owner can be in flight, so that they are not counted twice.
func (s *State) gain(w *workspace, ev *Event) {
	if w.bucket.owned && w.bucket.epoch == ev.Epoch {
		w.bucket.confirm(s.now, ev.Until)
		return
	}
	from := s.now.Add(withClockMargin(s.config.Validity))
	w.bucket.gain(from, ev.Until, ev.Epoch, ev.Balance)
}

// lose ends the ownership and releases the balance to the next owner, if there
// is one.
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

// retryAfter estimates when a request of the workspace could be admitted: the
// time in which the rate yields the cost of the queue and of the request.
func retryAfter(w *workspace, cost int64) time.Duration {
	if w.rate <= 0 {
		return time.Second
	}
	return time.Duration((w.queuedCost+cost)*microsPerSecond/w.rate) * time.Microsecond
}
