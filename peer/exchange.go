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

// sentTimes is how many send times a link remembers; at exchangeInterval that
// covers 16 s.
const sentTimes = 64

// Link is one Exchange stream, seen from one side.
type Link struct {
	handler StateHandler
	send    func(*peerv1.ExchangeMessage) error
	recv    func() (*peerv1.ExchangeMessage, error)
	kick    chan struct{}

	mu   sync.Mutex
	vm   model.VMID
	seq  uint64
	seen uint64
	sent [sentTimes]model.Time
	// versions are the versions of documents that were sent, by name.
	versions map[string]uint64
	// wantsConfig is true when the next message shall have the configuration.
	wantsConfig bool
}

func newLink(h StateHandler, vm model.VMID, send func(*peerv1.ExchangeMessage) error, recv func() (*peerv1.ExchangeMessage, error)) *Link {
	return &Link{
		handler:  h,
		vm:       vm,
		send:     send,
		recv:     recv,
		kick:     make(chan struct{}, 1),
		versions: map[string]uint64{},
	}
}

// Peer returns the VM at the other end, empty until it has named itself.
func (l *Link) Peer() model.VMID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vm
}

// SendsFirst reports whether this version of a document has not been sent on
// the stream yet, and records that it is sent now. A stream loses nothing, so
// what was sent once need not be sent again.
func (l *Link) SendsFirst(document string, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.versions[document] >= version {
		return false
	}
	l.versions[document] = version
	return true
}

// SendsChanged reports whether a document with this hash is not the one that
// was sent last on the stream, and records that it is sent now.
func (l *Link) SendsChanged(document string, hash uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, sent := l.versions[document]; sent && last == hash {
		return false
	}
	l.versions[document] = hash
	return true
}

// RequestDocument asks for the configuration document to be part of the next message.
func (l *Link) RequestDocument() {
	l.mu.Lock()
	l.wantsConfig = true
	l.mu.Unlock()
	l.Kick()
}

// TakeDocumentRequest reports and clears whether the document is to be sent.
func (l *Link) TakeDocumentRequest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := l.wantsConfig
	l.wantsConfig = false
	return wanted
}

// Kick sends a message soon instead of at the next interval.
func (l *Link) Kick() {
	select {
	case l.kick <- struct{}{}:
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
		if l.send(l.next()) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-l.kick:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Link) next() *peerv1.ExchangeMessage {
	// The time is taken before the message is composed, so that evidence
	// that answers this message is never dated too late.
	now := l.handler.Now()
	m := l.handler.Compose(l.Peer(), l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	l.sent[l.seq%sentTimes] = now
	m.Seq = l.seq
	m.Echo = l.seen
	return m
}

func (l *Link) received(m *peerv1.ExchangeMessage) (model.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vm = model.VMID(m.GetVm())
	l.seen = m.GetSeq()
	echo := m.GetEcho()
	if echo == 0 || echo > l.seq || l.seq-echo >= sentTimes {
		return 0, false
	}
	return l.sent[echo%sentTimes], true
}
