package holder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
)

// Guards against an answer, a prepared statement or a cancellation that affects
// another caller when batches on shared connections are interrupted and canceled.
func TestAnswersDoNotCross(t *testing.T) {
	const callers, rounds = 16, 40
	b := newFixture(t, false)
	var all sync.WaitGroup
	for caller := range callers {
		s := b.stream(t)
		random := rand.New(rand.NewPCG(1, uint64(caller)))
		all.Go(func() {
			for round := range rounds {
				runCallerBatch(t, s, random, fmt.Sprintf("caller-%d-%d-end", caller, round))
			}
		})
	}
	all.Wait()
	if stats := b.pool.Stats(); b.decider.slots() != 0 || stats.Open != stats.Idle || stats.Open > 2 {
		t.Fatalf("%d slots held, pool %+v", b.decider.slots(), stats)
	}
}

// runCallerBatch runs a batch that selects the caller's own value and, at random,
// interrupts or cancels it after a short delay.
func runCallerBatch(t *testing.T, s executor.Stream, random *rand.Rand, value string) {
	batch := &executor.Batch{Class: model.Read, Deadline: time.Now().Add(testTimeout), Messages: encode(t,
		&pgproto3.Parse{Name: "mine", Query: "SELECT " + value},
		&pgproto3.Bind{PreparedStatement: "mine"}, &pgproto3.Execute{}, &pgproto3.Sync{})}
	ctx, interrupt := context.WithCancel(context.Background())
	defer interrupt()
	delay := time.Duration(random.IntN(400)) * time.Microsecond
	switch random.IntN(4) {
	case 0:
		time.AfterFunc(delay, interrupt)
	case 1:
		defer time.AfterFunc(delay, s.Cancel).Stop()
	}
	var answer strings.Builder
	_, err := s.Run(ctx, batch, func(messages []byte) error {
		answer.Write(messages)
		return nil
	})
	got := answer.String()
	if err == nil && strings.Count(got, value) != 1 {
		t.Errorf("answer %q to %s", got, value)
	}
	if rest := strings.ReplaceAll(got, value, ""); strings.Contains(rest, "caller-") {
		t.Errorf("answer %q to %s has another caller's value", got, value)
	}
}
