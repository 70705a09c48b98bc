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
	// order has the workspaces by name, so that effects do not depend on map
	// order.
	order       []*workspace
	nextRequest uint64
	// settled is the newest version known to be in force everywhere, since
	// settledAt; usable is the newest whose raised shares may be used.
	settled   uint64
	settledAt model.Time
	usable    uint64
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
		s.settle(ev.Version)
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
	return s.applyTo(w, ev, out)
}

// applyTo processes the events that need a workspace.
func (s *State) applyTo(w *workspace, ev *Event, out []Effect) []Effect {
	switch ev.Kind {
	case EventRemove:
		return s.remove(w, out)
	case EventGained:
		s.gain(w, ev)
	case EventLost:
		out = s.lose(w, ev, out)
	case EventOwner:
		s.setOwner(w, ev)
	case EventCancel:
		s.abandon(w, ev.ID)
	case EventTokenResponse:
		s.tokens(w, ev)
	case EventTokenRequestFailed:
		s.requestFailed(w, ev.RequestID)
	case EventTokenRequest:
		out = s.request(w, ev, out)
	}
	return s.serve(w, out)
}

// unknownWorkspace answers a peer's request, so that it need not time out.
func (s *State) unknownWorkspace(ev *Event, out []Effect) []Effect {
	if ev.Kind != EventTokenRequest {
		return out
	}
	return append(out, emptyAnswer(ev))
}

func (s *State) configure(ev *Event, out []Effect) []Effect {
	w := s.workspaces[ev.Workspace]
	if w == nil {
		w = &workspace{name: ev.Workspace, demand: demand{last: s.now}}
		s.workspaces[w.name] = w
		s.insert(w)
	}
	if ev.Version < w.version {
		return out
	}
	w.version = ev.Version
	w.rate = ev.Rate
	w.burst = ev.Burst
	w.target = s.split(ev)
	s.applyShare(w)
	return s.serve(w, out)
}

// split returns this zone's share: equal parts for the zones in service. The
// rate is reduced by the bound on the clock's rate error.
func (s *State) split(ev *Event) share {
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
	next := w.target
	if w.version > s.usable {
		next = w.bucket.share.min(w.target)
	}
	w.bucket.setShare(s.now, next, w.validityOf(next, s.config.Validity))
}

func (s *State) insert(w *workspace) {
	i := sort.Search(len(s.order), func(i int) bool { return s.order[i].name >= w.name })
	s.order = append(s.order, nil)
	copy(s.order[i+1:], s.order[i:])
	s.order[i] = w
}

func (s *State) remove(w *workspace, out []Effect) []Effect {
	for len(w.queued()) > 0 {
		out = append(out, refusal(w, w.popWaiter()))
	}
	out = s.answerAll(w, out)
	delete(s.workspaces, w.name)
	i := sort.Search(len(s.order), func(i int) bool { return s.order[i].name >= w.name })
	s.order = append(s.order[:i], s.order[i+1:]...)
	return out
}

func (s *State) settle(version uint64) {
	if version > s.settled {
		s.settled = version
		s.settledAt = s.now
	}
}

// raise applies the raised shares of settled configurations.
func (s *State) raise() {
	if s.usable == s.settled || s.now.Sub(s.settledAt) < s.config.RaiseDelay {
		return
	}
	s.usable = s.settled
	for _, w := range s.order {
		s.applyShare(w)
	}
}

func (s *State) confirm(until model.Time) {
	for _, w := range s.order {
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
	from := s.now.Add(withMargin(s.config.Validity))
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
	out = s.answerAll(w, out)
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
		o.retryAt, o.failedUntil = 0, 0
	}
	o.vm = ev.VM
	o.epoch = ev.Epoch
}

func (s *State) tick(out []Effect) []Effect {
	s.raise()
	for _, w := range s.order {
		if w.idle() {
			w.demand.last = s.now
			continue
		}
		w.grants.expire(s.now)
		w.bucket.refill(s.now)
		w.demand.update(s.now)
		s.failOverdue(w)
		out = s.refuseOverdue(w, out)
		out = s.serve(w, out)
	}
	return out
}

// retryAfter estimates when a workspace's request could succeed.
func retryAfter(w *workspace, cost int64) time.Duration {
	if w.rate <= 0 {
		return time.Second
	}
	return time.Duration((w.waiting+cost)*microsPerSecond/w.rate) * time.Microsecond
}
