package routing

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// BenchmarkBatch measures the two events of a read whose first attempt succeeds.
func BenchmarkBatch(b *testing.B) {
	s, out := New("z1"), make([]Effect, 0, 8)
	s.Apply(0, &Event{Kind: GroupConfigured, Database: "db", Upstreams: []Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, nil)
	request := Event{Kind: BatchRequested, Database: "db", Workspace: "w", Class: model.Read, MaxAge: time.Second, Deadline: 1 << 60}
	response := Event{Kind: AttemptEnded, Database: "db", Attempt: 1}
	b.ReportAllocs()
	for b.Loop() {
		request.ID++
		request.Seed += 12345
		out = s.Apply(1, &request, out[:0])
		response.ID, response.Upstream = request.ID, out[0].Upstream
		s.Apply(2, &response, out[:0])
	}
}

// TestBatchDoesNotAllocate guards against allocations on the read path.
func TestBatchDoesNotAllocate(t *testing.T) {
	s, out := New("z1"), make([]Effect, 0, 8)
	s.Apply(0, &Event{Kind: GroupConfigured, Database: "db", Upstreams: []Upstream{{ID: "a"}, {ID: "b"}}}, nil)
	request := Event{Kind: BatchRequested, Database: "db", Workspace: "w", Class: model.Read, MaxAge: time.Second, Deadline: 1 << 60}
	response := Event{Kind: AttemptEnded, Database: "db", Attempt: 1}
	n := testing.AllocsPerRun(1000, func() {
		request.ID++
		out = s.Apply(1, &request, out[:0])
		response.ID, response.Upstream = request.ID, out[0].Upstream
		s.Apply(2, &response, out[:0])
	})
	if n != 0 {
		t.Errorf("a read makes %v allocations, want 0", n)
	}
}
