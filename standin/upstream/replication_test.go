package upstream

import (
	"sync"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// A replica must receive all entries, apply them with the configured lag, report
// the position of a read, and refuse writes.
func TestLogShippingWithLag(t *testing.T) {
	g := startGroup(t, Options{})
	primary := connect(t, g.Upstreams[0])
	exec(t, primary, "CREATE TABLE item (id bigint PRIMARY KEY, body bytea)")
	created := g.Upstreams[0].Status().Received
	awaitApplied(t, g.Upstreams[1], FirstTerm, created)
	g.Upstreams[1].SetApplyLag(2)
	for i := range 5 {
		exec(t, primary, "INSERT INTO item VALUES ($1, $2)", i, []byte{byte(i)})
	}
	exec(t, primary, "INSERT INTO item VALUES ($1, $2)", 5, nil)
	end := created + 6
	awaitApplied(t, g.Upstreams[2], FirstTerm, end)
	awaitApplied(t, g.Upstreams[1], FirstTerm, end-2)
	awaitReceived(t, g.Upstreams[1], end)
	if applied := g.Upstreams[1].Status().Applied; applied != end-2 {
		t.Fatalf("applied %d with a lag of 2, want %d", applied, end-2)
	}
	lagging := connect(t, g.Upstreams[1])
	if n := queryInt(t, lagging, "SELECT count(*) FROM item"); n != 4 {
		t.Fatalf("the lagging replica shows %d rows, want 4", n)
	}
	var term string
	var position int64
	if err := lagging.QueryRow(testContext(t), "SELECT chervilhatch_position()").Scan(&term, &position); err != nil || term != "1.init" || position != 6 {
		t.Fatalf("position of the read is %q, %d (%v), want 1.init, 6", term, position, err)
	}
	g.Upstreams[1].SetApplyLag(0)
	awaitApplied(t, g.Upstreams[1], FirstTerm, end)
	if _, err := lagging.Exec(testContext(t), "DELETE FROM item"); sqlState(err) != codeReadOnly {
		t.Fatalf("write on a replica: %v", err)
	}
	if n := queryInt(t, lagging, "SELECT count(*) FROM item"); n != 6 {
		t.Fatalf("the replica shows %d rows, want 6", n)
	}
}

// A replica must receive no entries while receiving is stopped, and must catch up
// afterwards, also if the primary was restarted in the meantime.
func TestReceiveStopAndRestart(t *testing.T) {
	g := startGroup(t, Options{})
	conn := connect(t, g.Upstreams[0])
	exec(t, conn, "CREATE TABLE item (id bigint PRIMARY KEY)")
	awaitApplied(t, g.Upstreams[1], FirstTerm, 2)
	g.Upstreams[1].SetReceiveStopped(true)
	exec(t, conn, "INSERT INTO item VALUES (1)")
	awaitApplied(t, g.Upstreams[2], FirstTerm, 3)
	if received := g.Upstreams[1].Status().Received; received != 2 {
		t.Fatalf("received %d while stopped, want 2", received)
	}
	g.Upstreams[0].Kill()
	if err := g.Upstreams[0].Restart(); err != nil {
		t.Fatal(err)
	}
	g.Upstreams[1].SetReceiveStopped(false)
	awaitApplied(t, g.Upstreams[1], FirstTerm, 3)
	if n := queryInt(t, connect(t, g.Upstreams[0]), "SELECT count(*) FROM item"); n != 1 {
		t.Fatalf("%d rows after a restart, want 1", n)
	}
}

// Concurrent write transactions must not lose updates, a replica must get the
// same data, and no more statements than slots may run concurrently.
func TestConcurrentWriters(t *testing.T) {
	const writers, rounds = 6, 20
	g := startGroup(t, Options{Slots: 2})
	exec(t, connect(t, g.Upstreams[0]), "CREATE TABLE counter (id bigint PRIMARY KEY, n bigint)")
	exec(t, connect(t, g.Upstreams[0]), "INSERT INTO counter VALUES (1, 0)")
	var done sync.WaitGroup
	for range writers {
		conn := connect(t, g.Upstreams[0])
		done.Add(1)
		go func() {
			defer done.Done()
			for range rounds {
				tx, err := conn.Begin(testContext(t))
				if err != nil {
					t.Error(err)
					return
				}
				_, first := tx.Exec(testContext(t), "UPDATE counter SET n = n + $1 WHERE id = $2", 1, 1)
				_, second := tx.Exec(testContext(t), "SELECT n FROM counter")
				if err := tx.Commit(testContext(t)); err != nil || first != nil || second != nil {
					t.Errorf("transaction: %v, %v, %v", first, second, err)
				}
			}
		}()
	}
	done.Wait()
	status := g.Upstreams[0].Status()
	awaitApplied(t, g.Upstreams[2], FirstTerm, status.Received)
	for _, i := range []int{0, 2} {
		if n := queryInt(t, connect(t, g.Upstreams[i]), "SELECT n FROM counter"); n != writers*rounds {
			t.Errorf("upstream %d counts %d, want %d", i, n, writers*rounds)
		}
	}
	if most := g.Upstreams[0].Counters().MaxConcurrent; most > 2 {
		t.Errorf("%d statements ran at once with 2 slots", most)
	}
}

func awaitReceived(t *testing.T, s *Server, p model.LogPos) {
	t.Helper()
	ctx := testContext(t)
	for s.Status().Received < p {
		if ctx.Err() != nil {
			t.Fatalf("upstream %s did not receive %d: %+v", s.ID(), p, s.Status())
		}
		time.Sleep(pollInterval)
	}
}
