package frontend

import (
	"context"
	"errors"
	"testing"
	"time"
)

func newContextSession() *session {
	s := &session{}
	s.ctx, s.cancelCtx = context.WithCancelCause(context.Background())
	context.AfterFunc(s.ctx, s.onContextDone)
	return s
}

// TestBatchContextEnds guards against a batch that continues after its deadline
// or after its session has ended, also if only a derived context is waited for.
func TestBatchContextEnds(t *testing.T) {
	cases := []struct {
		name string
		end  func(s *session)
		left time.Duration
		want error
	}{
		{"deadline", func(*session) {}, 10 * time.Millisecond, context.DeadlineExceeded},
		{"deadline passed", func(*session) {}, -time.Second, context.DeadlineExceeded},
		{"session", func(s *session) { s.cancelCtx(nil) }, time.Minute, context.Canceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newContextSession()
			batch := s.startBatch(time.Now().Add(c.left))
			defer s.endBatch(batch)
			derived, cancel := context.WithCancel(batch)
			defer cancel()
			called := make(chan struct{})
			batch.AfterFunc(func() { close(called) })
			c.end(s)
			<-derived.Done()
			<-called
			if !errors.Is(batch.Err(), c.want) || !errors.Is(derived.Err(), c.want) {
				t.Errorf("ended with %v, %v", batch.Err(), derived.Err())
			}
		})
	}
}

// TestBatchOfEndedSession guards against a batch that starts after its session
// has ended and is not cancelled.
func TestBatchOfEndedSession(t *testing.T) {
	s := newContextSession()
	s.cancelCtx(nil)
	batch := s.startBatch(time.Now().Add(time.Minute))
	defer s.endBatch(batch)
	<-batch.Done()
}

// TestLateTimerOfBatch guards against the timer of one batch ending the next.
func TestLateTimerOfBatch(t *testing.T) {
	s := newContextSession()
	s.endBatch(s.startBatch(time.Now().Add(time.Minute)))
	next := s.startBatch(time.Now().Add(time.Minute))
	defer s.endBatch(next)
	s.expireBatch()
	if next.Err() != nil {
		t.Error(next.Err())
	}
}

// TestStoppedAfterFunc guards against a stopped function that is still called:
// it would interrupt a connection that already serves another caller.
func TestStoppedAfterFunc(t *testing.T) {
	s := newContextSession()
	batch := s.startBatch(time.Now().Add(time.Minute))
	stop := batch.AfterFunc(func() { t.Error("called after it was stopped") })
	if !stop() || stop() {
		t.Error("stop does not report whether it had an effect")
	}
	s.endBatch(batch)
	late := make(chan struct{})
	if batch.AfterFunc(func() { close(late) })() {
		t.Error("stopped a call of an ended context")
	}
	<-late
}
