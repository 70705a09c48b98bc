package linenode

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/store"
)

// errNotLeaseHolder means that another VM may hold the promotion lease.
var errNotLeaseHolder = errors.New("the promotion lease is not held")

// readRecords reads the records of the last promotions from the store.
func (t *transitions) readRecords(ctx context.Context) (map[catalog.Service]promotion.Record, error) {
	kvs, _, err := t.options.Store.Range(ctx, promotionsPrefix, 0)
	if err != nil {
		return nil, err
	}
	records := map[catalog.Service]promotion.Record{}
	for i := range kvs {
		var r promotion.Record
		if err := json.Unmarshal(kvs[i].Value, &r); err != nil {
			t.log.Error().Err(err).Str("key", kvs[i].Key).Msg("undecodable record of a promotion ignored")
			continue
		}
		records[catalog.Service(strings.TrimPrefix(kvs[i].Key, promotionsPrefix))] = r
	}
	return records, nil
}

// recordWrite returns the change of the store that writes the record of a promotion.
func recordWrite(service catalog.Service, r promotion.Record) (store.Write, error) {
	value, err := json.Marshal(r)
	return store.Write{Key: promotionsPrefix + string(service), Value: value}, err
}

// writeRecord writes the record of a promotion, on the condition that this VM still
// holds the promotion lease.
func (t *transitions) writeRecord(ctx context.Context, service catalog.Service, r promotion.Record) error {
	write, err := recordWrite(service, r)
	if err != nil {
		return err
	}
	t.mu.Lock()
	revision := t.leaseRevision
	t.mu.Unlock()
	result, err := t.options.Store.Txn(ctx,
		[]store.Condition{{Key: promotionLeaseKey, ModRevision: revision}},
		[]store.Write{write})
	if err != nil {
		return err
	}
	if !result.Succeeded {
		return errNotLeaseHolder
	}
	return nil
}
