package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilhatch/chervilhatch/executor"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// executeServer serves one Execute stream. Batches run in a goroutine of their
// own, so that a cancel request is received while a batch runs.
type executeServer struct {
	rpc    peerv1.Peer_ExecuteServer
	stream executor.Stream

	// sendMu serializes sends: a gRPC stream does not allow concurrent ones.
	sendMu sync.Mutex
}

// Execute implements peerv1.PeerServer.
func (s *Server) Execute(rpc peerv1.Peer_ExecuteServer) error {
	first, err := rpc.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return status.Error(codes.InvalidArgument, "the first message must be a hello")
	}
	h, upstream := helloFromProto(hello)
	stream, err := s.holders.Open(rpc.Context(), h, upstream)
	if err != nil {
		return rpc.Send(lastResponse(0, executor.Result{}, err))
	}
	es := &executeServer{rpc: rpc, stream: stream}
	return es.serve()
}

func (es *executeServer) serve() error {
	ctx, cancel := context.WithCancel(es.rpc.Context())
	batches := make(chan *peerv1.ExecuteBatch)
	var runner sync.WaitGroup
	runner.Add(1)
	go func() {
		defer runner.Done()
		es.runBatches(ctx, batches)
	}()
	err := es.receive(ctx, batches)
	close(batches)
	cancel()
	runner.Wait()
	_ = es.stream.Close()
	return err
}

func (es *executeServer) receive(ctx context.Context, batches chan<- *peerv1.ExecuteBatch) error {
	for {
		m, err := es.rpc.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if m.GetCancel() != nil {
			es.stream.Cancel()
			continue
		}
		if m.GetBatch() == nil {
			return status.Error(codes.InvalidArgument, "unexpected message on an execute stream")
		}
		select {
		case batches <- m.GetBatch():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (es *executeServer) runBatches(ctx context.Context, batches <-chan *peerv1.ExecuteBatch) {
	for m := range batches {
		b := batchFromProto(m, time.Now())
		runCtx, span := telemetry.Span(telemetry.Extract(ctx, b.TraceParent), "peer")
		result, err := es.stream.Run(runCtx, b, func(messages []byte) error {
			return es.send(&peerv1.ExecuteResponse{Id: b.ID, Messages: messages})
		})
		span.End()
		if es.send(lastResponse(b.ID, result, err)) != nil {
			return
		}
	}
}

func (es *executeServer) send(m *peerv1.ExecuteResponse) error {
	es.sendMu.Lock()
	defer es.sendMu.Unlock()
	return es.rpc.Send(m)
}
