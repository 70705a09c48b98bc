package upstreampool

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/admission"
	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

// slowServer is an upstream that takes some time for each statement and each new
// connection, and records how many are under way.
type slowServer struct {
	listener net.Listener
	takes    time.Duration
	underWay atomic.Int64
	most     atomic.Int64
	// failures is how many of the next statements break their connection.
	failures atomic.Int64
}

// failer is the part of testing.T that rapid.T has as well.
type failer interface{ Fatal(...any) }

func startSlowServer(t failer, takes time.Duration) *slowServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &slowServer{listener: l, takes: takes}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *slowServer) work() {
	n := s.underWay.Add(1)
	for most := s.most.Load(); n > most && !s.most.CompareAndSwap(most, n); most = s.most.Load() {
	}
	time.Sleep(s.takes)
	s.underWay.Add(-1)
}

func (s *slowServer) serve(conn net.Conn) {
	defer conn.Close()
	r := lineproto.NewReader(conn)
	if _, err := r.Read(); err != nil {
		return
	}
	s.work()
	_, _ = conn.Write([]byte("READY I 1.1\r\n"))
	for {
		m, err := r.Read()
		if err != nil || m.Word != lineproto.Query {
			return
		}
		s.work()
		if s.failures.Add(-1) >= 0 {
			return
		}
		_, _ = conn.Write([]byte("COMPLETE -\r\nREADY I 1.1\r\n"))
	}
}

func newGatedPool(s *slowServer, share connlimit.Share) *Pool {
	p := New(Upstream{ID: "i-1", Service: "db", Address: s.listener.Addr().String(), Slots: 2}, share)
	p.UseGate(NewGateMetrics(metrics.NewRegistry()))
	return p
}

func gated(workspace string, objective, deadline time.Duration) Request {
	now := time.Now()
	return Request{Workspace: workspace, Objective: now.Add(objective), Deadline: now.Add(deadline)}
}

// settled reports whether nothing is under way or waits, and no capacity is lost.
func (p *Pool) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.underWay == 0 && p.gate.queue.Len() == 0 && p.open == len(p.idle) && len(p.inUse) == 0
}

// Guards against slots and connections that are lost or granted twice when callers
// cancel, statements fail, transactions are open and the pool closes, and against more
// statements under way than the gate allows.
func TestEverySlotComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := startSlowServer(t, 200*time.Microsecond)
		defer s.listener.Close()
		share := rapid.IntRange(1, 5).Draw(t, "share")
		p := newGatedPool(s, connlimit.Share{Base: share, Max: share, Keep: share})
		s.failures.Store(int64(rapid.IntRange(0, 5).Draw(t, "failures")))
		closes := rapid.Bool().Draw(t, "closes")
		seed := rapid.Uint64().Draw(t, "seed")
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				for range 6 {
					runCaller(p, random)
				}
			}()
		}
		if closes {
			time.Sleep(time.Duration(seed%3000) * time.Microsecond)
			p.Close()
		}
		wg.Wait()
		for end := time.Now().Add(5 * time.Second); !p.settled(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not settled: %+v, %d under way", p.Stats(), p.gate.underWay)
			}
		}
		// Transactions that are open at Close end without slots.
		if most := s.most.Load(); most > 3 && !closes {
			t.Fatalf("%d statements were under way at 2 slots", most)
		}
		p.Close()
	})
}

// runCaller runs one statement or transaction that may be cancelled.
func runCaller(p *Pool, random *rand.Rand) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if random.IntN(4) == 0 {
		time.AfterFunc(time.Duration(random.IntN(1000))*time.Microsecond, cancel)
	}
	r := gated(string(rune('a'+random.IntN(3))), 20*time.Millisecond, time.Duration(5+random.IntN(200))*time.Millisecond)
	r.Elsewhere = random.IntN(3) == 0
	c, err := p.Acquire(ctx, r)
	if err != nil {
		return
	}
	reusable := true
	if random.IntN(3) == 0 {
		p.Leave(c)
		for range 3 {
			if err := p.Enter(ctx, c, r); err != nil {
				p.Release(c, false)
				return
			}
			_, err := c.Query(time.Now().Add(time.Second), "-", "READ a")
			p.Leave(c)
			reusable = reusable && err == nil
		}
	} else if _, err := c.Query(time.Now().Add(time.Second), "-", "READ a"); err != nil {
		reusable = false
	}
	p.Release(c, reusable)
}

// Guards against statements of open transactions that wait for a slot held by statements
// that wait for a connection, when transactions hold all connections.
func TestTransactionsThatHoldAllConnectionsProceed(t *testing.T) {
	s := startSlowServer(t, time.Millisecond)
	defer s.listener.Close()
	p := newGatedPool(s, connlimit.Share{Base: 2, Max: 2, Keep: 2})
	defer p.Close()
	var open []*Conn
	for range 2 {
		c, err := p.Acquire(context.Background(), gated("a", time.Second, time.Second))
		if err != nil {
			t.Fatal(err)
		}
		p.Leave(c)
		open = append(open, c)
	}
	waiting := make(chan error)
	for range 5 {
		go func() {
			c, err := p.Acquire(context.Background(), gated("a", 5*time.Second, 5*time.Second))
			if err == nil {
				p.Release(c, true)
			}
			waiting <- err
		}()
	}
	for p.Stats().Waiting < 5 {
		time.Sleep(time.Millisecond)
	}
	for _, c := range open {
		if err := p.Enter(context.Background(), c, gated("a", time.Second, time.Second)); err != nil {
			t.Fatal(err)
		}
		p.Release(c, true)
	}
	for range 5 {
		if err := <-waiting; err != nil {
			t.Error(err)
		}
	}
}

// Guards against a read that waits at a full upstream although another one may serve it,
// and against one that waits although it cannot be served by its deadline.
func TestRefusedAtOnceAtAFullUpstream(t *testing.T) {
	s := startSlowServer(t, 0)
	defer s.listener.Close()
	p := newGatedPool(s, connlimit.Share{Base: 9, Max: 9, Keep: 9})
	defer p.Close()
	for range 3 {
		if _, err := p.Acquire(context.Background(), gated("a", time.Second, time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	elsewhere := gated("a", 5*time.Millisecond, time.Minute)
	elsewhere.Elsewhere = true
	for name, tt := range map[string]struct {
		request Request
		cause   admission.Cause
	}{
		"another upstream": {elsewhere, admission.Busy},
		"deadline":         {gated("a", time.Millisecond, 10*time.Millisecond), admission.TooLate},
		"older VM":         {Request{Workspace: "a", Wait: 10 * time.Millisecond}, admission.TooLate},
	} {
		_, err := p.Acquire(context.Background(), tt.request)
		var refused *OverloadedError
		if !errors.As(err, &refused) || refused.Refusal.Cause != tt.cause || refused.Refusal.RetryAfter <= 0 || p.Stats().Waiting != 0 {
			t.Errorf("%s: %v, %+v", name, err, refused)
		}
	}
}

// Guards against statements that wait until their deadline for an upstream that does not
// answer, although other upstreams may serve them.
func TestStalledUpstreamKeepsNobodyWaiting(t *testing.T) {
	s := startSlowServer(t, 0)
	defer s.listener.Close()
	p := newGatedPool(s, connlimit.Share{Base: 9, Max: 9, Keep: 9})
	defer p.Close()
	var held []*Conn
	for range 3 {
		c, err := p.Acquire(context.Background(), gated("a", time.Second, time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	waiting := make(chan error, 1)
	go func() {
		_, err := p.Acquire(context.Background(), gated("a", time.Second, time.Minute))
		waiting <- err
	}()
	for p.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	p.mu.Lock()
	p.gate.progressAt = p.gate.progressAt.Add(-2 * stallTime)
	p.mu.Unlock()
	_, err := p.Acquire(context.Background(), gated("a", time.Second, time.Minute))
	for _, err := range []error{err, <-waiting} {
		var refused *OverloadedError
		if !errors.As(err, &refused) || refused.Refusal.Cause != admission.Stalled {
			t.Errorf("at a stalled upstream: %v", err)
		}
	}
	held[0].Close()
	p.Release(held[0], false)
	if c, err := p.Acquire(context.Background(), gated("a", time.Second, time.Minute)); err != nil {
		t.Errorf("with a free slot: %v", err)
	} else {
		p.Release(c, true)
	}
}

// Guards against a queue that sends what is past its deadline after a suspension of the
// VM, for which the boot-time clock went on and the monotonic one did not.
func TestResumedQueueSendsNothingLate(t *testing.T) {
	s := startSlowServer(t, 0)
	defer s.listener.Close()
	p := newGatedPool(s, connlimit.Share{Base: 9, Max: 9, Keep: 9})
	defer p.Close()
	now := boottime.Now()
	late := newSlot(gated("a", time.Second, time.Second), now.Add(-time.Minute), 0)
	p.mu.Lock()
	p.gate.queue.Offer(late.entry.Arrival, &late.entry, admission.Capacity{Slots: 3, Connections: true}, 0)
	p.dispatch()
	p.mu.Unlock()
	if _, err := p.awaitSlot(context.Background(), late); !errors.As(err, new(*OverloadedError)) {
		t.Errorf("a statement past its deadline: %v", err)
	}
	granted := newSlot(gated("a", time.Second, time.Second), now.Add(-time.Minute), 0)
	p.mu.Lock()
	p.gate.queue.Offer(granted.entry.Arrival, &granted.entry, p.capacity(now), 0)
	p.gate.queue.Remove(&granted.entry)
	p.grantSlot(now, granted)
	p.mu.Unlock()
	if _, err := p.awaitSlot(context.Background(), granted); !errors.As(err, new(*OverloadedError)) || !p.settled() {
		t.Errorf("a statement granted before the suspension: %v, %+v", err, p.Stats())
	}
}

// Guards against a gate that stays narrow, or that closes, after the upstream's queue was
// full because of other VMs.
func TestGateNarrowsAndWidens(t *testing.T) {
	p := New(Upstream{ID: "i-1", Slots: 4}, connlimit.Share{Base: 9, Max: 9, Keep: 9})
	p.UseGate(NewGateMetrics(metrics.NewRegistry()))
	for range 20 {
		p.MarkBusy()
		p.gate.narrowedAt = p.gate.narrowedAt.Add(-busyBackoff)
	}
	now := boottime.Now()
	if width := p.width(now); width < 2 || width > 4 {
		t.Errorf("width %d after many refusals", width)
	}
	if width := p.width(now.Add(10 * widenInterval)); width != 6 {
		t.Errorf("width %d some time later, want 6", width)
	}
}

// Guards against a change of the order in which requests get connections where statements
// are not ordered by their deadlines.
func TestOrderWithoutGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Upstream{ID: "i-1", Slots: 4}, connlimit.Share{Base: 9, Max: 9, Keep: 9})
		names := []string{"a", "b", "c"}
		for _, name := range names {
			p.inUse[name] = rapid.IntRange(0, 3).Draw(t, "in use")
		}
		now := time.Now()
		var want []*waiter
		for range rapid.IntRange(1, 30).Draw(t, "waiters") {
			w := &waiter{workspace: rapid.SampledFrom(names).Draw(t, "workspace"), priority: rapid.IntRange(0, 2).Draw(t, "priority"), since: now}
			if rapid.Bool().Draw(t, "old") {
				w.since = now.Add(-time.Minute)
			}
			p.waiters = append(p.waiters, w)
			want = append(want, w)
		}
		for len(want) > 0 {
			freed := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "freed")
			first := slices.MinFunc(want, func(a, b *waiter) int {
				if a.priority != b.priority {
					return a.priority - b.priority
				}
				return p.inUse[a.workspace] - p.inUse[b.workspace]
			})
			if first.workspace != freed && first.since.Equal(now) {
				if i := slices.IndexFunc(want, func(w *waiter) bool { return w.workspace == freed && w.priority <= first.priority }); i >= 0 {
					first = want[i]
				}
			}
			if got := p.nextWaiter(freed); got != first {
				t.Fatalf("got %+v, want %+v", got, first)
			}
			want = slices.DeleteFunc(want, func(w *waiter) bool { return w == first })
			p.inUse[first.workspace]++
		}
	})
}
