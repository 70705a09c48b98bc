package upstream

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/value"
)

const (
	// replicationParameter in a startup message requests a replication stream
	// instead of a session.
	replicationParameter = "chervilhatch_replication"
	// replicationReady is the response to the startup message of a replica.
	replicationReady = "R"
	// maxBatchEntries is the maximum number of entries in one message. It keeps
	// a replica that is far behind from blocking its primary.
	maxBatchEntries = 256
	// pullRetryDelay is the delay before a replica connects to its primary again
	// after a failed connection or stream.
	pullRetryDelay = 20 * time.Millisecond
)

// pullRequest opens a replication stream in a term. Segments describe the
// replica's log.
type pullRequest struct {
	Term     model.Term
	Segments []segment
}

// pullReply is one message of the primary. The first one has no entries and
// sets Refused or Common; the others set Start and Entries.
type pullReply struct {
	// Refused is set when the sender is not the primary of the term.
	Refused bool
	// Common is the position of the last entry that both logs share. The
	// replica rewinds to it.
	Common model.LogPos
	// Start is the position before the first of Entries.
	Start   model.LogPos
	Entries []entry
}

func init() { gob.Register(value.Null{}) }

// errRefused is returned by a stream whose first message has Refused set.
var errRefused = errors.New("the peer is not the primary of the term")

// serveReplica streams the log to a replica until the replica disconnects or
// this upstream must no longer serve the log in the term.
func (n *node) serveReplica(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if _, err := conn.Write([]byte(replicationReady)); err != nil {
		return
	}
	decoder := gob.NewDecoder(conn)
	encoder := gob.NewEncoder(conn)
	var req pullRequest
	if decoder.Decode(&req) != nil {
		return
	}
	first, next := n.openStream(req)
	if encoder.Encode(first) != nil || first.Refused {
		return
	}
	go func() {
		// The replica sends nothing more, so Decode returns when it disconnects.
		_ = decoder.Decode(&req)
		cancel()
	}()
	for ctx.Err() == nil {
		reply, changed, ok := n.nextBatch(req.Term, next)
		if !ok {
			return
		}
		if len(reply.Entries) == 0 {
			wait(ctx, changed)
			continue
		}
		if encoder.Encode(reply) != nil {
			return
		}
		next += model.LogPos(len(reply.Entries))
	}
}

// openStream compares the logs. It returns the first message and the position
// after which the stream starts.
func (n *node) openStream(req pullRequest) (first pullReply, next model.LogPos) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.servesLog(req.Term) {
		return pullReply{Refused: true}, 0
	}
	common := commonEnd(n.log.segments, req.Segments)
	return pullReply{Common: common}, common
}

// nextBatch returns the entries after p, and a channel that is closed when there
// may be more. ok is false if the stream must end.
func (n *node) nextBatch(term model.Term, p model.LogPos) (reply pullReply, changed <-chan struct{}, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.servesLog(term) {
		return pullReply{}, nil, false
	}
	reply = pullReply{Start: p, Entries: n.log.after(p, maxBatchEntries)}
	return reply, n.changed, true
}

// servesLog reports whether replicas may pull the log in a term. The caller
// holds mu.
func (n *node) servesLog(term model.Term) bool {
	return n.role == dbgroup.Primary && n.promised == term && !n.hooks.partitioned
}

// pullTarget is the primary that a replica pulls from, and the request to send
// to it.
type pullTarget struct {
	address    string
	generation uint64
	request    pullRequest
}

// target returns the primary to pull from, and a channel that is closed when
// that may have changed. ok is false if the upstream must not pull.
func (n *node) target() (target pullTarget, ok bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target = pullTarget{
		address:    n.primary,
		generation: n.generation.Load(),
		request: pullRequest{
			Term:     n.promised,
			Segments: append([]segment(nil), n.log.segments...),
		},
	}
	return target, n.role == dbgroup.Replica && n.receives(), n.changed
}

// receives reports whether the hooks allow receiving entries. The caller holds
// mu.
func (n *node) receives() bool {
	return !n.hooks.receiveStopped && !n.hooks.partitioned
}

// pullLoop keeps a replica connected to its primary until ctx is done.
func (n *node) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		target, ok, changed := n.target()
		if !ok {
			wait(ctx, changed)
			continue
		}
		if n.pull(ctx, target) == nil {
			continue
		}
		select {
		case <-time.After(pullRetryDelay):
		case <-ctx.Done():
		}
	}
}

// pull receives entries until the stream fails or the target changes. It returns
// nil if the log was rewound and the stream must be opened again at once.
func (n *node) pull(ctx context.Context, target pullTarget) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	go n.cancelOnChange(ctx, cancel, target.generation)
	if err := openReplication(conn, target.request); err != nil {
		return err
	}
	err = n.receiveAll(gob.NewDecoder(conn), target.generation)
	if errors.Is(err, errRewound) {
		return nil
	}
	return err
}

// openReplication sends the startup message, waits for the response and sends
// the request.
func openReplication(conn net.Conn, req pullRequest) error {
	startup := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{replicationParameter: "pull"},
	}
	message, err := startup.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(message); err != nil {
		return err
	}
	// Wait for the response before sending the request: the primary reads the
	// startup message through a buffer, which would swallow a request that
	// arrives with it.
	if _, err := io.ReadFull(conn, make([]byte, len(replicationReady))); err != nil {
		return err
	}
	return gob.NewEncoder(conn).Encode(req)
}

// cancelOnChange cancels a pull when the generation changes or a hook forbids
// receiving.
func (n *node) cancelOnChange(ctx context.Context, cancel context.CancelFunc, generation uint64) {
	for ctx.Err() == nil {
		n.mu.Lock()
		allowed := n.generation.Load() == generation && n.receives()
		changed := n.changed
		n.mu.Unlock()
		if !allowed {
			cancel()
			return
		}
		wait(ctx, changed)
	}
}

// receiveAll processes the messages of a stream until there is an error.
func (n *node) receiveAll(decoder *gob.Decoder, generation uint64) error {
	var first pullReply
	if err := decoder.Decode(&first); err != nil {
		return err
	}
	if first.Refused {
		return errRefused
	}
	if err := n.rewind(first.Common, generation); err != nil {
		return err
	}
	for {
		var reply pullReply
		if err := decoder.Decode(&reply); err != nil {
			return err
		}
		if err := n.receive(reply, generation); err != nil {
			return err
		}
	}
}

var (
	errStale   = errors.New("the upstream has left the term of this stream")
	errRewound = errors.New("the log was rewound; the stream must be opened again")
)

// rewind discards the entries after common, which the primary does not have,
// and rebuilds the data. It returns errRewound if there were any.
func (n *node) rewind(common model.LogPos, generation uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.accepts(generation) {
		return errStale
	}
	diverged := common < n.log.end()
	if diverged {
		n.log.truncate(common)
		if err := n.rebuild(); err != nil {
			return err
		}
	}
	n.synced = true
	n.notify()
	if diverged {
		return errRewound
	}
	return nil
}

// accepts reports whether a stream of the generation may change the log. It may
// not while a write transaction is still being rolled back, which uses the write
// copy of the data. The caller holds mu.
func (n *node) accepts(generation uint64) bool {
	return n.generation.Load() == generation && n.receives() && n.open == nil
}

// receive appends entries to the log and to the write copy of the data.
func (n *node) receive(reply pullReply, generation uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.accepts(generation) || reply.Start != n.log.end() {
		return errStale
	}
	now := time.Now()
	for _, e := range reply.Entries {
		if err := n.data.WriteApply(e.Statements); err != nil {
			return err
		}
		n.log.append(e)
		n.receivedAt = append(n.receivedAt, now)
	}
	n.notify()
	return nil
}

// applyLoop makes received entries visible to reads after the lag, until ctx is
// done.
func (n *node) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		again, changed := n.applyDue(time.Now())
		timer := time.NewTimer(again)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// idleApplyInterval is how long applyLoop waits for a change when it does not
// know when the next entry is due.
const idleApplyInterval = time.Hour

// applyDue publishes the entries whose lag has passed. It returns the time until
// it must be called again, and a channel that is closed if that is earlier.
func (n *node) applyDue(now time.Time) (again time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	end := n.log.end() - min(n.hooks.lagEntries, n.log.end())
	for n.applied < end {
		if len(n.receivedAt) > 0 {
			if due := n.receivedAt[0].Add(n.hooks.lagTime); due.After(now) {
				return due.Sub(now), n.changed
			}
		}
		if err := n.publishUpTo(n.applied + 1); err != nil {
			break
		}
	}
	return idleApplyInterval, n.changed
}
