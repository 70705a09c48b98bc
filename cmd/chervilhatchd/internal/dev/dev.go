// Package dev runs one daemon together with stand-ins for the platform and a
// database group in one process, for evaluation and development.
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

const (
	// stopTimeout bounds a graceful shutdown.
	stopTimeout       = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	// readyTimeout bounds the wait for readiness after the start.
	readyTimeout = 30 * time.Second
)

// Options configures a development daemon.
type Options struct {
	// Listen, Admin and Operator are the addresses of the listeners for callers,
	// for the health and metrics pages and for operators.
	Listen   string
	Admin    string
	Operator string
	// CertDir is the directory to which the certificate for chervilhatchctl is
	// written; empty means that it is not written.
	CertDir string
}

// Run runs the daemon and its stand-ins until ctx is done.
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
	options, err := openListeners(o)
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

// serve runs the daemon until ctx is done and then stops it gracefully.
func serve(ctx context.Context, o Options, options node.Options, key string) error {
	certs, err := newCertificates()
	if err != nil {
		return err
	}
	setFixedOptions(&options, certs)
	n, err := node.New(options)
	if err != nil {
		return err
	}
	adminServer, err := run.ServeAdmin(o.Admin, options.Metrics, n, options.Log)
	if err != nil {
		return err
	}
	n.Start()
	if err := printConnectionInfo(ctx, o, options, certs, n, key); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.Stop(stopCtx)
	return adminServer.Shutdown(stopCtx)
}

// setFixedOptions sets the options that do not depend on flags.
func setFixedOptions(options *node.Options, certs *certificates) {
	options.VM = vm
	options.Zone = zone
	options.PeerServerTLS = certs.server()
	options.PeerClientTLS = certs.client()
	options.OperatorTLS = certs.server()
	options.UpstreamUser = upstreamUser
	options.UpstreamPassword = upstreamPassword
	options.Metrics = metrics.NewRegistry()
}

// printConnectionInfo writes the certificate and prints how to connect. It prints
// the command for callers once the daemon is ready.
func printConnectionInfo(ctx context.Context, o Options, options node.Options, certs *certificates, n *node.Node, key string) error {
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

func openListeners(o Options) (node.Options, error) {
	var out node.Options
	listeners := []struct {
		address string
		target  *net.Listener
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
		*l.target = opened
	}
	return out, nil
}

// startPlatform starts the stand-in for the platform and stores the development
// configuration in it. The returned function stops the stand-in.
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

// waitReady reports whether the node became ready within readyTimeout.
func waitReady(ctx context.Context, n *node.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if n.Ready() == nil {
			return true
		}
		time.Sleep(readyPollInterval)
	}
	return false
}
