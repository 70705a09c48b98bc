package panics

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

// panickingHealth panics in every call for the service "broken".
type panickingHealth struct {
	grpc_health_v1.UnimplementedHealthServer
}

func (panickingHealth) Check(_ context.Context, r *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	if r.GetService() == "broken" {
		panic("broken service")
	}
	return &grpc_health_v1.HealthCheckResponse{}, nil
}

func (panickingHealth) Watch(*grpc_health_v1.HealthCheckRequest, grpc.ServerStreamingServer[grpc_health_v1.HealthCheckResponse]) error {
	panic("broken stream")
}

// Guards against a panic in one call that ends the process, and against one that leaves
// no trace in the log.
func TestPanicInOneCallLeavesTheServerRunning(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	server := grpc.NewServer(ServerOptions(zerolog.New(&log))...)
	grpc_health_v1.RegisterHealthServer(server, panickingHealth{})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	client := grpc_health_v1.NewHealthClient(conn)
	if _, err := client.Check(t.Context(), &grpc_health_v1.HealthCheckRequest{Service: "broken"}); status.Code(err) != codes.Internal {
		t.Errorf("call that panics: %v", err)
	}
	stream, err := client.Watch(t.Context(), &grpc_health_v1.HealthCheckRequest{})
	if err == nil {
		_, err = stream.Recv()
	}
	if status.Code(err) != codes.Internal {
		t.Errorf("stream that panics: %v", err)
	}
	if _, err := client.Check(t.Context(), &grpc_health_v1.HealthCheckRequest{}); err != nil {
		t.Errorf("call after the panics: %v", err)
	}
	server.Stop()
	if !strings.Contains(log.String(), "broken service") || !strings.Contains(log.String(), "broken stream") {
		t.Errorf("log %q lacks a panic", log.String())
	}
}

// Guards against an error that hides what panicked.
func TestCallReturnsThePanic(t *testing.T) {
	var panicked *Error
	err := Call(zerolog.Nop(), "task", func() { panic("value") })
	if !errors.As(err, &panicked) || panicked.Task != "task" || panicked.Value != "value" {
		t.Errorf("error %v", err)
	}
	if err := Call(zerolog.Nop(), "task", func() {}); err != nil {
		t.Errorf("error %v without a panic", err)
	}
}
