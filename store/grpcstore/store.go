package grpcstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (store.KeyValue, error) {
	answer, err := callIdempotent(ctx, c, "get", func(ctx context.Context, p platformv1.PlatformClient) (*platformv1.GetResponse, error) {
		return p.Get(ctx, &platformv1.GetRequest{Key: key})
	})
	if err != nil {
		return store.KeyValue{}, err
	}
	kv := fromKeyValue(answer.GetKv())
	kv.Key = key
	return kv, nil
}

// Range reads the keys with a prefix.
func (c *Client) Range(ctx context.Context, prefix string, limit int) ([]store.KeyValue, int64, error) {
	answer, err := callIdempotent(ctx, c, "range", func(ctx context.Context, p platformv1.PlatformClient) (*platformv1.RangeResponse, error) {
		return p.Range(ctx, &platformv1.RangeRequest{Prefix: prefix, Limit: int64(limit)})
	})
	if err != nil {
		return nil, 0, err
	}
	return fromKeyValues(answer.GetKvs()), answer.GetRevision(), nil
}

// Txn applies the writes if all conditions hold. The request is sent once:
// after store.ErrUnavailable the caller has to read the keys to learn whether
// the writes were applied.
func (c *Client) Txn(ctx context.Context, conditions []store.Condition, writes []store.Write) (store.TxnResult, error) {
	request := toTxn(conditions, writes)
	answer, err := callOnce(ctx, c, "txn", func(ctx context.Context, p platformv1.PlatformClient) (*platformv1.TxnResponse, error) {
		return p.Txn(ctx, request)
	})
	if err != nil {
		return store.TxnResult{}, err
	}
	return store.TxnResult{
		Succeeded: answer.GetSucceeded(),
		Revision:  answer.GetRevision(),
		Current:   fromKeyValues(answer.GetCurrent()),
	}, nil
}

// LeaseGrant creates a lease.
func (c *Client) LeaseGrant(ctx context.Context, ttl time.Duration) (int64, error) {
	request := &platformv1.LeaseGrantRequest{TtlMs: ttl.Milliseconds()}
	answer, err := callOnce(ctx, c, "lease_grant", func(ctx context.Context, p platformv1.PlatformClient) (*platformv1.LeaseGrantResponse, error) {
		return p.LeaseGrant(ctx, request)
	})
	return answer.GetLeaseId(), err
}

// LeaseKeepAlive renews a lease. It returns store.ErrLeaseNotFound if the lease
// has ended.
func (c *Client) LeaseKeepAlive(ctx context.Context, lease int64) error {
	request := &platformv1.LeaseKeepAliveRequest{LeaseId: lease}
	answer, err := callIdempotent(ctx, c, "lease_keep_alive", func(ctx context.Context, p platformv1.PlatformClient) (*platformv1.LeaseKeepAliveResponse, error) {
		return p.LeaseKeepAlive(ctx, request)
	})
	if err != nil {
		return err
	}
	if answer.GetTtlMs() <= 0 {
		return fmt.Errorf("lease %d: %w", lease, store.ErrLeaseNotFound)
	}
	return nil
}

// LeaseRevoke ends a lease and deletes its keys.
func (c *Client) LeaseRevoke(ctx context.Context, lease int64) error {
	request := &platformv1.LeaseRevokeRequest{LeaseId: lease}
	_, err := callIdempotent(ctx, c, "lease_revoke", func(ctx context.Context, p platformv1.PlatformClient) (*platformv1.LeaseRevokeResponse, error) {
		return p.LeaseRevoke(ctx, request)
	})
	return err
}

// Watch calls fn with the changes of a prefix until ctx ends or the stream
// fails. It also ends when another call finds the address unavailable, because
// a stream on a dead connection gives no sign of it.
func (c *Client) Watch(ctx context.Context, prefix string, start int64, fn func(store.Change)) error {
	client, index, active := c.activeConn()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(active, func() { cancel(context.Cause(active)) })
	defer stop()

	c.count(callsPrefix, "watch")
	err := receive(ctx, client, &platformv1.WatchRequest{Prefix: prefix, StartRevision: start}, fn)
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w: watch: %w", store.ErrUnavailable, cause)
	}
	c.count(errorsPrefix, "watch")
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: watch: the stream ended", store.ErrUnavailable)
	}
	if unavailable(err) {
		c.switchFrom(index)
	}
	return wrapError("watch", err)
}

// receive calls fn with the messages of a watch and returns the error that ends
// the stream.
func receive(ctx context.Context, p platformv1.PlatformClient, r *platformv1.WatchRequest, fn func(store.Change)) error {
	stream, err := p.Watch(ctx, r)
	if err != nil {
		return err
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		fn(store.Change{Revision: message.GetRevision(), KVs: fromKeyValues(message.GetChanges())})
	}
}
