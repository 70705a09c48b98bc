package peer

import (
	"context"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// exchangeInterval is the interval at which each side of a stream sends a
// message. Changes are sent immediately, in addition.
const exchangeInterval = 250 * time.Millisecond

// StateHandler composes and processes the messages of Exchange streams.
type StateHandler interface {
	// Compose returns the next message for vm; the caller sets seq and echo. vm
	// is empty until the peer's first message has arrived, unless this VM opened
	// the stream to a known VM.
	Compose(vm model.VMID, l *Link) *peerv1.ExchangeMessage
	// Received processes a message of the peer. sentAt is when this VM sent the
	// newest message that the peer had received when it composed m. ok is false
	// if there was none, or if its send time is no longer known.
	Received(m *peerv1.ExchangeMessage, sentAt model.Time, ok bool)
	// Now returns the time of the VM's monotonic clock.
	Now() model.Time
}

// maxSendTimes is the number of messages whose send times a link keeps, which
// covers 16 s at exchangeInterval.
const maxSendTimes = 64

// Link is this VM's end of an Exchange stream.
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
	// sentVersions has the last version or hash of each document that was sent
	// on the stream, by the document's name.
	sentVersions map[string]uint64
	// includeConfig is true if the next message has to include the configuration
	// document.
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

// Peer returns the VM at the other end. It is empty until the first message of
// the VM has arrived, unless the stream was opened to a known VM.
func (l *Link) Peer() model.VMID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vm
}

// MarkVersionSent marks a version of a document as sent on the stream, and
// reports whether the caller has to send it: it returns false if this or a newer
// version has been sent. A stream delivers every message or breaks, so nothing
// has to be sent twice.
func (l *Link) MarkVersionSent(document string, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sentVersions[document] >= version {
		return false
	}
	l.sentVersions[document] = version
	return true
}

// MarkHashSent marks the content of a document with the given hash as sent on
// the stream, and reports whether the caller has to send it: it returns false if
// the last content that was sent has the same hash.
func (l *Link) MarkHashSent(document string, hash uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, sent := l.sentVersions[document]; sent && last == hash {
		return false
	}
	l.sentVersions[document] = hash
	return true
}

// IncludeConfig sends a message that includes the configuration document
// without waiting for the next interval.
func (l *Link) IncludeConfig() {
	l.mu.Lock()
	l.includeConfig = true
	l.mu.Unlock()
	l.Trigger()
}

// TakeIncludeConfig reports whether the next message has to include the
// configuration document, and clears the request.
func (l *Link) TakeIncludeConfig() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := l.includeConfig
	l.includeConfig = false
	return wanted
}

// Trigger sends a message without waiting for the next interval.
func (l *Link) Trigger() {
	select {
	case l.trigger <- struct{}{}:
	default:
	}
}

// run sends and receives until ctx is done or the stream breaks.
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
	// The clock is read before the message is composed, so that evidence in the
	// peer's reply to this message is never dated too late.
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
