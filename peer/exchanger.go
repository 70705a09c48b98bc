package peer

import (
	"context"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/pause"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// exchangeRetryDelay is the delay before a broken Exchange stream is reopened.
const exchangeRetryDelay = 200 * time.Millisecond

// Exchanger runs the Exchange streams of this VM: the streams that it opens to
// its targets and seeds, and the streams that peers open to it.
type Exchanger struct {
	handler StateHandler
	clients *Clients

	mu      sync.Mutex
	ctx     context.Context
	targets map[model.VMID]context.CancelFunc
	links   map[*Link]struct{}
	wg      sync.WaitGroup
}

// NewExchanger returns an Exchanger without streams. Canceling ctx closes the
// streams to the targets.
func NewExchanger(ctx context.Context, h StateHandler, c *Clients) *Exchanger {
	return &Exchanger{
		handler: h,
		clients: c,
		ctx:     ctx,
		targets: map[model.VMID]context.CancelFunc{},
		links:   map[*Link]struct{}{},
	}
}

// SetTargets opens streams to the given VMs and closes streams to former targets.
func (e *Exchanger) SetTargets(vms []model.VMID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := make(map[model.VMID]bool, len(vms))
	for _, vm := range vms {
		wanted[vm] = true
		if e.targets[vm] == nil {
			e.open(vm)
		}
	}
	for vm, cancel := range e.targets {
		if !wanted[vm] {
			cancel()
			delete(e.targets, vm)
		}
	}
}

func (e *Exchanger) open(vm model.VMID) {
	ctx, cancel := context.WithCancel(e.ctx)
	e.targets[vm] = cancel
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		for ctx.Err() == nil {
			e.connect(ctx, vm)
			pause.For(ctx, exchangeRetryDelay)
		}
	}()
}

// RunSeed keeps a stream open to a peer that is known only by its address, until
// ctx is done.
func (e *Exchanger) RunSeed(ctx context.Context, address string) {
	conn, err := e.clients.dial(address)
	if err != nil {
		return
	}
	defer conn.Close()
	for ctx.Err() == nil {
		if rpc, err := peerv1.NewPeerClient(conn).Exchange(ctx); err == nil {
			e.serve(ctx, newLink(e.handler, "", rpc.Send, rpc.Recv))
		}
		pause.For(ctx, exchangeRetryDelay)
	}
}

func (e *Exchanger) connect(ctx context.Context, vm model.VMID) {
	client, err := e.clients.client(vm)
	if err != nil {
		return
	}
	rpc, err := client.Exchange(ctx)
	if err != nil {
		return
	}
	e.serve(ctx, newLink(e.handler, vm, rpc.Send, rpc.Recv))
}

// serve runs a link and includes it in Links while it runs. It ignores the error
// of a broken stream, because the side that opened the stream reopens it.
func (e *Exchanger) serve(ctx context.Context, l *Link) {
	e.mu.Lock()
	e.links[l] = struct{}{}
	e.mu.Unlock()
	_ = l.run(ctx)
	e.mu.Lock()
	delete(e.links, l)
	e.mu.Unlock()
}

// Links returns the open streams.
func (e *Exchanger) Links() []*Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	links := make([]*Link, 0, len(e.links))
	for l := range e.links {
		links = append(links, l)
	}
	return links
}

// TriggerAll sends a message on every stream without waiting for the next interval.
func (e *Exchanger) TriggerAll() {
	for _, l := range e.Links() {
		l.Trigger()
	}
}

// Exchange implements peerv1.PeerServer.
func (s *Server) Exchange(rpc peerv1.Peer_ExchangeServer) error {
	s.exchanger.serve(rpc.Context(), newLink(s.exchanger.handler, "", rpc.Send, rpc.Recv))
	return nil
}
