package cli

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

// fakeServer is a daemon with version 7 in force. It gives the same answer to every
// change.
type fakeServer struct {
	operatorv1.UnimplementedOperatorServer
	document string
	answer   *operatorv1.ApplyConfigResponse
	progress []*operatorv1.WaitInForceResponse
	// lastApply is the last change that was received.
	lastApply *operatorv1.ApplyConfigRequest
}

func (f *fakeServer) GetConfig(context.Context, *operatorv1.GetConfigRequest) (*operatorv1.GetConfigResponse, error) {
	return &operatorv1.GetConfigResponse{Version: 7, Document: []byte(f.document), Author: "ada", AcceptedUnixMs: 1000}, nil
}

func (f *fakeServer) ApplyConfig(_ context.Context, r *operatorv1.ApplyConfigRequest) (*operatorv1.ApplyConfigResponse, error) {
	f.lastApply = r
	return f.answer, nil
}

func (f *fakeServer) WaitInForce(_ *operatorv1.WaitInForceRequest, stream grpc.ServerStreamingServer[operatorv1.WaitInForceResponse]) error {
	for _, m := range f.progress {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *fakeServer) Status(context.Context, *operatorv1.StatusRequest) (*operatorv1.StatusResponse, error) {
	u := &operatorv1.UpstreamStatus{Id: "u1", Zone: "a", Role: "primary", Reachable: true}
	return &operatorv1.StatusResponse{
		Vm:        "vm1",
		Vms:       []*operatorv1.VMStatus{{Id: "vm1", Zone: "a", Live: true, ConfigVersion: 7}},
		Databases: []*operatorv1.DatabaseStatus{{Database: "entries", Term: "3.vm1", Upstreams: []*operatorv1.UpstreamStatus{u}}},
	}, nil
}

// testClient runs commands against a fakeServer over mutual TLS.
type testClient struct {
	t     *testing.T
	flags []string
}

// startServer starts the server with a self-signed certificate that is also the CA
// of both sides.
func startServer(t *testing.T, f *fakeServer) testClient {
	t.Helper()
	cert, certFile, keyFile := selfSigned(t)
	roots := x509.NewCertPool()
	roots.AddCert(cert.Leaf)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	})))
	operatorv1.RegisterOperatorServer(server, f)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return testClient{t, []string{
		"--daemon", listener.Addr().String(), "--cert", certFile, "--key", keyFile, "--ca", certFile,
		"--author", "bob", "--wait", "300ms",
	}}
}

func selfSigned(t *testing.T) (cert tls.Certificate, certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, certFile, "CERTIFICATE", der)
	writePEM(t, keyFile, "PRIVATE KEY", keyDER)
	cert, err = tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	return cert, certFile, keyFile
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// run runs a command, checks its exit code and returns its output.
func (c testClient) run(wantCode int, args ...string) (stdout, stderr string) {
	c.t.Helper()
	var out, errs bytes.Buffer
	code := Run(c.t.Context(), append(c.flags, args...), &out, &errs)
	if code != wantCode {
		c.t.Errorf("%v: exit code %d, want %d\n%s%s", args, code, wantCode, &out, &errs)
	}
	return out.String(), errs.String()
}
