package peer

import (
	"context"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// exchangeInterval is how often each side of a stream sends. A change is sent
// at once in addition.
const exchangeInterval = 250 * time.Millisecond

// StateHandler composes and takes in the messages of Exchange streams.
type StateHandler interface {
	// Compose returns the message for vm. seq and echo are set by the caller.
	// vm is empty when the peer has not named itself yet.
	Compose(vm model.VMID, l *Link) *peerv1.ExchangeMessage
	// Received takes in a message. sentAt is when this VM sent the newest
	// message that the peer had received when it composed m; ok is false if
	// there is none yet.
	Received(m *peerv1.ExchangeMessage, sentAt model.Time, ok bool)
	// Now reads the VM's monotonic clock.
	Now() model.Time
}

// maxSendTimes is how many send times a link remembers; at exchangeInterval that
// covers 16 s.
const maxSendTimes = 64

// Link is one Exchange stream, seen from one side.
type Link struct {
	handler StateHandler
	send    func(*peerv1.ExchangeMessage) error
	recv    func() (*peerv1.ExchangeMessage, error)
	trigger chan struct{}

	mu           sync.Mutex
	vm           model.VMID
	seq          uint64
	lastReceived uint64
	sendTimes    [maxSendTimes]model.Time
	// sentVersions are the sentVersions of documents that were sent, by name.
	sentVersions map[string]uint64
	// includeConfig is true when the next message shall have the configuration.
	includeConfig bool
}

func newLink(h StateHandler, vm model.VMID, send func(*peerv1.ExchangeMessage) error, recv func() (*peerv1.ExchangeMessage, error)) *Link {
	return &Link{
		handler:      h,
		vm:           vm,
		send:         send,
		recv:         recv,
		trigger:      make(chan struct{}, 1),
		sentVersions: map[string]uint64{},
	}
}

// Peer returns the VM at the other end, empty until it has named itself.
func (l *Link) Peer() model.VMID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vm
}

// MarkVersionSent reports whether this version of a document has not been sent on
// the stream yet, and records that it is sent now. A stream loses nothing, so
// what was sent once need not be sent again.
func (l *Link) MarkVersionSent(document string, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sentVersions[document] >= version {
		return false
	}
	l.sentVersions[document] = version
	return true
}

// MarkHashSent reports whether a document with this hash is not the one that
// was sent last on the stream, and records that it is sent now.
func (l *Link) MarkHashSent(document string, hash uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, sent := l.sentVersions[document]; sent && last == hash {
		return false
	}
	l.sentVersions[document] = hash
	return true
}

// IncludeConfig asks for the configuration document to be part of the next message.
func (l *Link) IncludeConfig() {
	l.mu.Lock()
	l.includeConfig = true
	l.mu.Unlock()
	l.Trigger()
}

// TakeIncludeConfig reports and clears whether the document is to be sent.
func (l *Link) TakeIncludeConfig() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := l.includeConfig
	l.includeConfig = false
	return wanted
}

// Trigger sends a message soon instead of at the next interval.
func (l *Link) Trigger() {
	select {
	case l.trigger <- struct{}{}:
	default:
	}
}

// run sends and receives until ctx ends or the stream breaks.
func (l *Link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		l.sendLoop(ctx)
	}()
	for {
		m, err := l.recv()
		if err != nil {
			return err
		}
		sentAt, ok := l.received(m)
		l.handler.Received(m, sentAt, ok)
	}
}

func (l *Link) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		if l.send(l.nextMessage()) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-l.trigger:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Link) nextMessage() *peerv1.ExchangeMessage {
	// The time is taken before the message is composed, so that evidence
	// that answers this message is never dated too late.
	now := l.handler.Now()
	m := l.handler.Compose(l.Peer(), l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	l.sendTimes[l.seq%maxSendTimes] = now
	m.Seq = l.seq
	m.Echo = l.lastReceived
	return m
}

func (l *Link) received(m *peerv1.ExchangeMessage) (model.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vm = model.VMID(m.GetVm())
	l.lastReceived = m.GetSeq()
	echo := m.GetEcho()
	if echo == 0 || echo > l.seq || l.seq-echo >= maxSendTimes {
		return 0, false
	}
	return l.sendTimes[echo%maxSendTimes], true
}
