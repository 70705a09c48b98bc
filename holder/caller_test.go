package holder_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// Guards against any part of a caller's key reaching an upstream, and against a
// write whose session position is not reported to the caller.
func TestCallerThroughProxy(t *testing.T) {
	b := newFixture(t, true)
	b.serve(t)
	conn := b.connect(t)
	ctx := context.Background()
	if _, err := conn.Exec(ctx, "INSERT 1").ReadAll(); err != nil {
		t.Fatal(err)
	}
	if got := conn.ParameterStatus("chervilhatch.position"); got != "entries1/7.vm-a1/1" {
		t.Fatalf("position %q", got)
	}
	results, err := conn.Exec(ctx, "SELECT 5").ReadAll()
	if err != nil || string(results[0].Rows[0][0]) != "5" {
		t.Fatalf("results %v, error %v", results, err)
	}
	if _, err := conn.Prepare(ctx, "p", "SELECT 6", nil); err != nil {
		t.Fatal(err)
	}
	if got := conn.ExecPrepared(ctx, "p", nil, nil, nil).Read(); got.Err != nil || len(got.Rows) != 1 {
		t.Fatalf("result %+v", got)
	}
	stored := verifierOf(testKey)
	for _, secret := range [][]byte{[]byte(testKey), stored.StoredKey, stored.ServerKey,
		[]byte(base64.StdEncoding.EncodeToString(stored.StoredKey)), []byte(stored.Salt)} {
		if bytes.Contains(b.upstream.bytes(), secret) {
			t.Fatal("the upstream received a part of the caller's key")
		}
	}
}

// Guards against a statement that continues to run after its key is withdrawn.
func TestKeyWithdrawnDuringStatement(t *testing.T) {
	b := newFixture(t, false)
	b.serve(t)
	conn := b.connect(t)
	go func() {
		<-b.upstream.hanging
		b.server.CloseKey("w", "k1")
	}()
	_, err := conn.Exec(context.Background(), "SELECT hang").ReadAll()
	if codeOf(err) != sqlstate.KeyWithdrawn || b.decider.slots() != 0 {
		t.Fatalf("error %v", err)
	}
}

// Guards against a withdrawal that reports a running write as not run.
func TestKeyWithdrawnDuringWrite(t *testing.T) {
	b := newFixture(t, true)
	b.serve(t)
	conn := b.connect(t)
	if _, err := conn.Exec(context.Background(), "BEGIN").ReadAll(); err != nil {
		t.Fatal(err)
	}
	go func() {
		<-b.upstream.hanging
		b.server.CloseKey("w", "k1")
	}()
	_, err := conn.Exec(context.Background(), "SELECT hang").ReadAll()
	if codeOf(err) != sqlstate.OutcomeUnknown || !conn.IsClosed() {
		t.Fatalf("error %v, closed %v", err, conn.IsClosed())
	}
}

// Guards against a cancel request that does not reach the upstream.
func TestCancelRequest(t *testing.T) {
	b := newFixture(t, false)
	b.serve(t)
	conn := b.connect(t)
	go func() {
		<-b.upstream.hanging
		_ = conn.CancelRequest(context.Background())
	}()
	_, err := conn.Exec(context.Background(), "SELECT hang").ReadAll()
	if codeOf(err) != sqlstate.QueryCanceled || conn.IsClosed() {
		t.Fatalf("error %v", err)
	}
}

// Guards against a stage of a batch without a span, and against spans outside
// the caller's trace.
func TestSpans(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	tracer := trace.NewTracerProvider(trace.WithSpanProcessor(recorder)).Tracer("test")
	b := &fixture{upstream: startUpstream(t), decider: &decider{primary: true}, tracer: tracer}
	b.open(t, b.upstream.address)
	b.serve(t)
	const id = "0af7651916cd43dd8448eb211c80319c"
	conn := b.connect(t, "chervilhatch.traceparent=00-"+id+"-b7ad6b7169203331-01")
	if _, err := conn.Exec(context.Background(), "INSERT 1").ReadAll(); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, span := range recorder.Ended() {
		names = append(names, span.Name())
		if got := span.SpanContext().TraceID().String(); got != id {
			t.Errorf("%s: trace %s", span.Name(), got)
		}
	}
	if got := strings.Join(names, ","); got != "queue,upstream,replication wait,caller" {
		t.Fatal(got)
	}
}
