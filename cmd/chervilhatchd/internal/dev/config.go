package dev

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/scramverifier"
	"github.com/chervilhatch/chervilhatch/standin/upstream"
	"github.com/chervilhatch/chervilhatch/store"
)

// Values of the development configuration.
const (
	slots       = 4
	connections = 20
	rate        = 10_000
	burst       = 20_000
	freshness   = 5 * time.Second
	saltBytes   = 16
)

// errConfigNotStored means that the store already has a configuration.
var errConfigNotStored = errors.New("initial configuration not stored: the store already has a configuration")

// storeConfig writes the development configuration to the store as version 1.
func storeConfig(ctx context.Context, client store.Store, group *upstream.Group, key string) error {
	document, err := newDocument(group, key)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if _, list := config.Parse("development configuration", text); len(list) > 0 {
		return list
	}
	encoded, err := config.EncodeRecord(config.Record{
		Version: 1, RequestID: "dev", Author: "dev", Summary: "development configuration",
		AcceptedUnixMS: time.Now().UnixMilli(), Document: string(text),
	})
	if err != nil {
		return err
	}
	result, err := client.Txn(ctx,
		[]store.Condition{{Key: config.CurrentKey}},
		[]store.Write{{Key: config.CurrentKey, Value: encoded}, {Key: config.HistoryKey(1), Value: encoded}})
	if err != nil {
		return err
	}
	if !result.Succeeded {
		return errConfigNotStored
	}
	return nil
}

// newDocument returns a configuration with one workspace, whose key is key, and one
// job on the group.
func newDocument(group *upstream.Group, key string) (*config.Document, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return nil, err
	}
	verifier, err := scramverifier.New(key, salt, scramverifier.DefaultIterations)
	if err != nil {
		return nil, err
	}
	d := &config.Document{
		Preset: "ordinary",
		Presets: []config.Preset{
			{Name: "ordinary", RateFactor: 1},
			{Name: "peak", RateFactor: 2},
			{Name: "maintenance", RateFactor: 1, RefuseWrites: true},
		},
		Zones: []config.Zone{{Name: zone, Region: "local"}},
		Workspaces: []config.Workspace{{
			Name: workspace, Rate: rate, Burst: burst, Weight: 1,
			KeyGrace: config.Duration(config.DefaultKeyGrace),
			Keys:     []config.Key{{ID: "dev", Verifier: verifier.String()}},
		}},
		Jobs: []config.Job{{
			Name: job, Database: database, Workspaces: []model.Workspace{workspace},
			Freshness: config.Duration(freshness), Class: config.ClassAuto,
			StatementTimeout: config.Duration(config.DefaultStatementTimeout),
		}},
	}
	d.SetDefaults()
	db := config.Database{Name: database, Slots: slots, Connections: connections}
	for _, u := range group.Upstreams {
		db.Upstreams = append(db.Upstreams, config.Upstream{ID: u.ID(), Zone: zone, Address: u.Address()})
	}
	d.Databases = []config.Database{db}
	return d, nil
}
