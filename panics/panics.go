// Package panics keeps an unexpected panic in one request, session or background task
// from ending the process. A panic is logged with its stack; what failed with it is
// answered with an error or run again, and everything else goes on.
package panics

import (
	"context"
	"fmt"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/rs/zerolog"
)

// Error is the error of a call that panicked.
type Error struct {
	// Task names what was running.
	Task string
	// Value is the value of the panic.
	Value any
}

// Error returns the task and the value of the panic.
func (e *Error) Error() string { return fmt.Sprintf("panic in %s: %v", e.Task, e.Value) }

// Call runs fn. It returns an *Error if fn panics, and logs it.
func Call(log zerolog.Logger, task string, fn func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &Error{Task: task, Value: value}
			log.Error().Err(err).Str("stack", string(debug.Stack())).Msg("panic recovered")
		}
	}()
	fn()
	return nil
}

// Go runs fn in a goroutine; a panic in it is logged.
func Go(log zerolog.Logger, task string, fn func()) {
	// The log has the error.
	go func() { _ = Call(log, task, fn) }()
}

// ServerOptions returns the options of a gRPC server that answers a call whose handler
// panics with codes.Internal. The caller has to treat such a call as possibly run.
func ServerOptions(log zerolog.Logger) []grpc.ServerOption {
	unary := func(ctx context.Context, r any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (answer any, err error) {
		if panicked := Call(log, info.FullMethod, func() { answer, err = handle(ctx, r) }); panicked != nil {
			return nil, status.Error(codes.Internal, panicked.Error())
		}
		return answer, err
	}
	stream := func(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
		if panicked := Call(log, info.FullMethod, func() { err = handle(srv, s) }); panicked != nil {
			return status.Error(codes.Internal, panicked.Error())
		}
		return err
	}
	return []grpc.ServerOption{grpc.ChainUnaryInterceptor(unary), grpc.ChainStreamInterceptor(stream)}
}
