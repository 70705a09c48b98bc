package holderlink

import (
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// noUpstreams is a Cluster without upstreams. The test fails if a statement is
// run.
type noUpstreams struct{ t *testing.T }

func (k noUpstreams) Now() model.Time           { return 1 }
func (k noUpstreams) Observe(*replicaset.Event) {}
func (k noUpstreams) Suspect(model.UpstreamID)  {}
func (k noUpstreams) Floor(catalog.Service, time.Duration, model.Position) (model.Position, time.Duration, bool) {
	k.t.Error("a statement was run")
	return model.Position{}, 0, false
}
func (k noUpstreams) ConfirmCommits(p *upstreamrun.Place, since model.Time) bool {
	return k.ConfirmPrimary(p, since)
}
func (k noUpstreams) ConfirmCommit(*upstreamrun.Place, model.Position) bool { return true }
func (k noUpstreams) ConfirmPrimary(*upstreamrun.Place, model.Time) bool {
	k.t.Error("a primary was to be confirmed for work that is refused")
	return false
}
func (k noUpstreams) Pool(model.UpstreamID) *upstreampool.Pool { return nil }

// Guards against a holder that runs statements for an upstream that is out of
// service, when the VM that sends them has not learned of that yet.
func TestHolderRefusesWorkForUpstreamsOutOfService(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	admitCalls := 0
	server := grpc.NewServer()
	vmlinkv1.RegisterHolderServer(server, &Server{
		Local:    &upstreamrun.Local{Cluster: noUpstreams{t}},
		Admit:    func(model.UpstreamID) error { admitCalls++; return upstreampool.ErrClosed },
		Stopping: func() bool { return false },
	})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := NewClient("vm-2", conn)
	place := upstreamrun.Place{Upstream: "i-1", Deadline: time.Now().Add(10 * time.Second)}
	if _, _, err := c.Run(&upstreamrun.Request{Place: place}); !errors.Is(err, upstreampool.ErrClosed) || upstreamrun.Sent(err) {
		t.Errorf("statement: %v", err)
	}
	if tx, _, _, err := c.Open(&upstreamrun.OpenRequest{Place: place}); !errors.Is(err, upstreampool.ErrClosed) || tx != nil {
		t.Errorf("transaction: %v", err)
	}
	if admitCalls != 2 {
		t.Errorf("asked %d times", admitCalls)
	}
}
