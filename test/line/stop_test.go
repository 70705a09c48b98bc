package line

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/test/linetest"
)

// Guards against a VM that ends while a statement of one of its own callers is running: the
// caller's connection breaks without an answer. The process ends once Stop has returned.
func TestStoppingVMAnswersItsCallers(t *testing.T) {
	const (
		grace = 4 * time.Second
		work  = 1300 * time.Millisecond
	)
	for _, sentAfter := range []time.Duration{0, grace / 4, grace*2/5 + 100*time.Millisecond, grace/2 - 100*time.Millisecond} {
		t.Run(sentAfter.String(), func(t *testing.T) {
			t.Parallel()
			f := newFixtureWithoutVMs(t, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: work})
			f.grace = grace
			f.startAll(3)
			read, write, transaction := f.dial(0, "bounded"), f.dial(0, "own"), f.dial(0, "own")
			read.MustSucceed("READ item")
			transaction.MustSucceed("BEGIN")
			stopped := make(chan time.Duration, 1)
			begin := time.Now()
			go func() {
				f.nodes[0].Stop()
				stopped <- time.Since(begin)
			}()
			time.Sleep(sentAfter)
			results := make(chan linetest.Result, 3)
			go func() { results <- read.Query("READ item") }()
			go func() { results <- write.Query("WRITE item x") }()
			go func() { results <- transaction.Query("WRITE item x") }()
			for range 3 {
				r := <-results
				if answeredAfter := time.Since(begin); !r.OK() || len(stopped) > 0 {
					t.Errorf("sent %v after the start of the stop, answered after %v, the stop has ended: %t; %+v", sentAfter, answeredAfter, len(stopped) > 0, r)
				}
			}
			if took := <-stopped; took > grace {
				t.Errorf("the stop took %v", took)
			}
		})
	}
}
