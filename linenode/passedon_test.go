package linenode

import (
	"context"
	"net"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// committingHolder answers each statement with an acknowledged commit.
type committingHolder struct {
	vmlinkv1.UnimplementedHolderServer
}

func (committingHolder) Check(context.Context, *vmlinkv1.CheckRequest) (*vmlinkv1.CheckResponse, error) {
	return &vmlinkv1.CheckResponse{}, nil
}

func (committingHolder) Run(context.Context, *vmlinkv1.RunRequest) (*vmlinkv1.RunResponse, error) {
	return &vmlinkv1.RunResponse{Signature: "1.a", State: "I", PositionTerm: 1, Position: 7}, nil
}

// Guards against a commit that is missing at the next primary since the VM that told the caller of it does not know that it was passed
// on: only the holder does, which is in the zone of the primary and fails with it.
func TestVMThatTellsTheCallerKnowsWhatWasPassedOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	vmlinkv1.RegisterHolderServer(server, committingHolder{})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	o := Options{VM: "vm-1", Zone: "z", Log: zerolog.Nop(), Registry: metrics.NewRegistry()}
	c := newCluster(o)
	m := newMembers(o, c)
	h := holderVM{vm: "vm-2", address: l.Addr().String()}
	m.topo.holders = map[model.Zone][]holderVM{"z": {h}}
	links := newLinks()
	t.Cleanup(func() { links.retain(nil) })
	f := newForwarder(t.Context(), c, m, links)
	c.forward = f
	c.Observe(&replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: c.Now(), Registrations: []replicaset.Registration{
		{ID: "a", Service: "db", Zone: "z", Primary: true}, {ID: "b", Service: "db", Zone: "y"},
	}})
	await(t, "connected", func() bool { return f.usable(h) != nil })

	r := upstreamrun.Request{Place: upstreamrun.Place{Service: "db", Upstream: "a", Deadline: time.Now().Add(time.Second)}}
	r.Text, r.Write = "WRITE x y", true
	answer, err := f.Run(&r)
	if err != nil || answer.Code != "" || answer.Ready.Position.Pos != 7 {
		t.Fatalf("fixture: answer %+v, error %v", answer, err)
	}
	if w := c.withdrawConfirmation("db", ""); w.PassedOn.Pos != 7 {
		t.Errorf("after a commit up to 7 the VM that has told the caller says that %d was passed on", w.PassedOn.Pos)
	}
}
