package platform

import (
	"context"
	"path"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// faults counts the calls and injects faults.
type faults struct {
	mu    sync.Mutex
	down  bool
	hang  bool
	delay time.Duration
	// loseAnswers is how many of the next Txn calls lose their response.
	loseAnswers int
	// calls has the number of calls by method name.
	calls map[string]int
	// changed is closed and replaced whenever down or hang changes.
	changed chan struct{}
}

func newFaults() *faults {
	return &faults{
		calls:   make(map[string]int),
		changed: make(chan struct{}),
	}
}

// SetDown makes all calls fail with Unavailable and ends open watches. It also
// ends a hang.
func (s *Server) SetDown(down bool) { s.faults.set(down, false) }

// SetHang makes all calls block until the caller cancels them or the hang ends.
// It ends open watches, and also the effect of SetDown.
func (s *Server) SetHang(hang bool) { s.faults.set(false, hang) }

// SetDelay delays every call, and the start of every watch, by d.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers makes the next n calls of Txn take effect and fail with
// Unavailable.
func (s *Server) LoseAnswers(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseAnswers = n
}

// Calls returns the number of calls by method name since the last ResetCalls,
// including failed ones. A watch counts as one call.
func (s *Server) Calls() map[string]int {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	calls := make(map[string]int, len(s.faults.calls))
	for method, n := range s.faults.calls {
		calls[method] = n
	}
	return calls
}

// ResetCalls resets the numbers that Calls returns.
func (s *Server) ResetCalls() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	clear(s.faults.calls)
}

func (f *faults) set(down, hang bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.hang = hang
	close(f.changed)
	f.changed = make(chan struct{})
}

// state returns whether calls fail or hang, and a channel that is closed when
// either changes.
func (f *faults) state() (down, hang bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.hang, f.changed
}

// admit counts a call, applies the delay and waits while calls hang. It returns
// an error if the call must fail.
func (f *faults) admit(ctx context.Context, fullMethod string) error {
	f.mu.Lock()
	f.calls[path.Base(fullMethod)]++
	delay := f.delay
	f.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
	for {
		down, hang, changed := f.state()
		if down {
			return errDown()
		}
		if !hang {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
}

// consumeLostAnswer reports whether this Txn must lose its response, and counts
// it if so.
func (f *faults) consumeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAnswers == 0 {
		return false
	}
	f.loseAnswers--
	return true
}

func (f *faults) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := f.admit(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (f *faults) stream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := f.admit(stream.Context(), info.FullMethod); err != nil {
		return err
	}
	return next(srv, stream)
}

func errDown() error {
	return status.Error(codes.Unavailable, "the stand-in is set to be down")
}
