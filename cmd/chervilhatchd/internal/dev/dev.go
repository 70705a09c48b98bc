// Package dev runs one daemon together with stand-ins of the platform and of a
// database group in one process, for trying chervilhatch out.
package dev

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchd/internal/run"
	"github.com/chervilhatch/chervilhatch/node"
	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/standin/platform"
	"github.com/chervilhatch/chervilhatch/standin/upstream"
	"github.com/chervilhatch/chervilhatch/store/grpcstore"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// Names in the development configuration.
const (
	zone      = "zone-a"
	vm        = "dev"
	job       = "entries"
	workspace = "demo"
	database  = "entries1"

	upstreamUser     = "chervilhatch"
	upstreamPassword = "development"
)

// Bounds.
const (
	stopTimeout  = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
	readyTimeout = 30 * time.Second
)

// Options are the addresses to listen on.
type Options struct {
	Listen   string
	Admin    string
	Operator string
	// CertDir gets the certificate for chervilhatchctl; empty means none.
	CertDir string
}

// Run runs until ctx ends.
func Run(ctx context.Context, o Options) error {
	log, err := telemetry.NewLogger(os.Stdout, "info", telemetry.FormatAuto)
	if err != nil {
		return err
	}
	group, err := upstream.NewGroup(database, upstream.Options{User: upstreamUser, Password: upstreamPassword})
	if err != nil {
		return fmt.Errorf("database group: %w", err)
	}
	defer group.Stop()
	options, err := listen(o)
	if err != nil {
		return err
	}
	key := rand.Text()
	store, stopPlatform, err := startPlatform(ctx, options.Peers.Addr().String(), group, key)
	if err != nil {
		return err
	}
	defer stopPlatform()
	options.Store = store
	options.Inventory = store
	options.Log = log
	return serve(ctx, o, options, key)
}

// serve runs the daemon until ctx ends.
func serve(ctx context.Context, o Options, options node.Options, key string) error {
	certs, err := newCertificates()
	if err != nil {
		return err
	}
	complete(&options, certs)
	n, err := node.New(options)
	if err != nil {
		return err
	}
	pages, err := run.ServeAdmin(o.Admin, options.Metrics, n, options.Log)
	if err != nil {
		return err
	}
	n.Start()
	if err := announce(ctx, o, options, certs, n, key); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.Stop(stopCtx)
	return pages.Shutdown(stopCtx)
}

// complete sets the options that are the same in every development daemon.
func complete(options *node.Options, certs *certificates) {
	options.VM = vm
	options.Zone = zone
	options.PeerServerTLS = certs.server()
	options.PeerClientTLS = certs.client()
	options.OperatorTLS = certs.server()
	options.UpstreamUser = upstreamUser
	options.UpstreamPassword = upstreamPassword
	options.Metrics = metrics.NewRegistry()
}

// announce prints how to connect, once callers are served.
func announce(ctx context.Context, o Options, options node.Options, certs *certificates, n *node.Node, key string) error {
	if err := certs.write(o.CertDir); err != nil {
		return err
	}
	if o.CertDir != "" {
		fmt.Printf("operators: chervilhatchctl --daemon %s --cert %s --key %s --ca %s status\n",
			options.Operator.Addr(), certs.certPath(o.CertDir), certs.keyPath(o.CertDir), certs.certPath(o.CertDir))
	}
	if waitReady(ctx, n) {
		fmt.Printf("ready: psql \"postgresql://%s:%s@%s/%s\"\n", workspace, key, options.Callers.Addr(), job)
	}
	return nil
}

func listen(o Options) (node.Options, error) {
	var out node.Options
	listeners := []struct {
		address string
		to      *net.Listener
	}{
		{o.Listen, &out.Callers},
		{"127.0.0.1:0", &out.Peers},
		{o.Operator, &out.Operator},
	}
	for _, l := range listeners {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return out, fmt.Errorf("listen: %w", err)
		}
		*l.to = opened
	}
	return out, nil
}

// startPlatform starts the stand-in of the platform and stores the first
// configuration.
func startPlatform(ctx context.Context, peerAddress string, group *upstream.Group, key string) (*grpcstore.Client, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("platform listener: %w", err)
	}
	server := platform.New()
	server.SetVMs([]*platformv1.VM{{Id: vm, Zone: zone, PeerAddress: peerAddress, State: platformv1.VMState_VM_STATE_LIVE}})
	go func() { _ = server.Serve(l) }()
	store, err := grpcstore.New(grpcstore.Options{
		Addresses: []string{l.Addr().String()}, Timeout: time.Second, Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		server.Stop()
		return nil, nil, err
	}
	if err := storeConfig(ctx, store, group, key); err != nil {
		server.Stop()
		return nil, nil, err
	}
	return store, server.Stop, nil
}

func waitReady(ctx context.Context, n *node.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if n.Ready() == nil {
			return true
		}
		time.Sleep(readyPoll)
	}
	return false
}
