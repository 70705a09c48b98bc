package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

// Result codes of samples that are not SQLSTATEs.
const (
	codeOK = ""
	// codeLost means that the connection ended before the answer, so that the
	// outcome is unknown; codeConnect, that no connection could be opened.
	codeLost    = "connection lost"
	codeConnect = "no connection"
)

// positionParameter is the name of the startup parameter and of the parameter
// status that carry a session's position.
const positionParameter = "chervilhatch.position"

// connectTimeout bounds a connection attempt, since the VM may be down, and the
// closing of a connection.
const connectTimeout = 2 * time.Second

// reconnectPause is the delay after a failed attempt to connect to all VMs, so
// that workers don't retry in a tight loop.
const reconnectPause = 20 * time.Millisecond

// statement is one request of a stream.
type statement struct {
	sql   string
	write bool
	// id is the ID of the row that a write inserts, or "".
	id string
}

// stream is open-loop load: requests arrive at random times, independent of the
// answers, and queue for a free connection of the stream.
type stream struct {
	workspace model.Workspace
	job       model.Job
	// vms are the indexes of the daemons that the connections are spread over.
	vms []int
	// rate is the mean arrival rate, in requests per second.
	rate  float64
	conns int
	// moveAfter is the number of requests after which a session reconnects to
	// the next VM; 0 means never.
	moveAfter int
	seed      uint64
	// statement generates the n-th request.
	statement func(rng *rand.Rand, n int) statement
}

// sample is the result of one request. Times are relative to the start of the
// load. The latency is measured from the arrival, so that it includes queueing in
// the load generator (no coordinated omission).
type sample struct {
	stream int
	// session identifies the worker that sent the request; it stays the same
	// when the worker reconnects to another VM.
	session int
	vm      int
	arrival time.Duration
	// sent is when a worker took the request from the queue.
	sent  time.Duration
	done  time.Duration
	write bool
	id    string
	code  string
}

func (s sample) latency() time.Duration { return s.done - s.arrival }

// load runs streams against a cluster and collects their samples.
type load struct {
	cluster *cluster.Cluster
	streams []stream
	start   time.Time
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu      sync.Mutex
	samples []sample
	// unsent holds the requests that were still queued when the load ended.
	unsent []sample
	// connectErrors counts failed attempts to connect, by error code and VM.
	connectErrors map[string]int
}

// startLoad starts the connections and the arrivals of all streams.
func startLoad(ctx context.Context, c *cluster.Cluster, streams []stream) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cluster: c, streams: streams, start: time.Now(), cancel: cancel, connectErrors: map[string]int{}}
	for i := range streams {
		l.run(ctx, i)
	}
	return l
}

// elapsed returns the current time relative to the start of the load.
func (l *load) elapsed() time.Duration { return time.Since(l.start) }

// stop ends the arrivals, waits for the answers to all requests that were sent
// and returns the samples. Requests that are still queued go to unsent.
func (l *load) stop() []sample {
	l.cancel()
	l.done.Wait()
	return l.samples
}

// queuedRequest is a request that waits for a free connection.
type queuedRequest struct {
	at time.Duration
	statement
}

func (l *load) run(ctx context.Context, i int) {
	s := &l.streams[i]
	queue := make(chan queuedRequest, max(1, int(s.rate)*queueSeconds))
	l.done.Add(1 + s.conns)
	go func() {
		defer l.done.Done()
		defer close(queue)
		l.generate(ctx, s, queue)
	}()
	for n := range s.conns {
		go func() {
			defer l.done.Done()
			w := &worker{load: l, stream: i, session: i<<16 + n, next: n}
			w.run(ctx, queue)
		}()
	}
}

// queueSeconds bounds the queue of a stream, in seconds of arrivals at its rate.
const queueSeconds = 20

// generate queues requests at exponentially distributed intervals (a Poisson
// process).
func (l *load) generate(ctx context.Context, s *stream, queue chan<- queuedRequest) {
	rng := rand.New(rand.NewPCG(s.seed, s.seed))
	at := l.elapsed()
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second))
		select {
		case <-time.After(at - l.elapsed()):
		case <-ctx.Done():
			return
		}
		select {
		case queue <- queuedRequest{at, s.statement(rng, n)}:
		case <-ctx.Done():
			return
		}
	}
}

// worker sends requests of a stream on one connection at a time.
type worker struct {
	load    *load
	stream  int
	session int
	// next is the index in the stream's vms, modulo their number, of the VM to
	// connect to next.
	next         int
	vm           int
	conn         *pgconn.PgConn
	requestsOnVM int
	position     string
}

func (w *worker) run(ctx context.Context, queue <-chan queuedRequest) {
	defer w.close()
	_ = w.connect() // The first request retries and reports the error.
	for a := range queue {
		if ctx.Err() != nil {
			w.load.addUnsent(sample{stream: w.stream, arrival: a.at})
			continue
		}
		sent := w.load.elapsed()
		code := w.request(a.sql)
		w.load.add(sample{
			stream: w.stream, session: w.session, vm: w.vm, arrival: a.at, sent: sent, done: w.load.elapsed(),
			write: a.write, id: a.id, code: code,
		})
		w.moveIfDue()
	}
}

// codeStopping is the SQLSTATE (admin_shutdown) with which a VM that stops or
// drains ends an idle session.
const codeStopping = "57P01"

// request executes a statement and returns the code of its result. Like a
// connection pool, it reconnects and retries once if the session had ended before
// the statement was sent.
func (w *worker) request(sql string) string {
	for try := 0; ; try++ {
		if w.conn == nil {
			if err := w.connectAny(); err != nil {
				time.Sleep(reconnectPause)
				return codeOf(err, codeConnect)
			}
		}
		err := w.send(sql)
		code := codeOf(err, codeLost)
		ended := code == codeStopping || code == codeLost && pgconn.SafeToRetry(err)
		if !ended || try > 0 {
			return code
		}
	}
}

// send executes a statement on the open connection.
func (w *worker) send(sql string) error {
	_, err := w.conn.Exec(context.Background(), sql).ReadAll()
	if p := w.conn.ParameterStatus(positionParameter); p != "" {
		w.position = p
	}
	if w.conn.IsClosed() {
		w.conn = nil
	}
	return err
}

// codeOf returns the SQLSTATE of an error, or other if it has none.
func codeOf(err error, other string) string {
	var answer *pgconn.PgError
	switch {
	case err == nil:
		return codeOK
	case errors.As(err, &answer):
		return answer.Code
	}
	return other
}

// connectAny tries the VMs of the stream in turn, like a driver with a list of
// several hosts.
func (w *worker) connectAny() error {
	var err error
	for range w.load.streams[w.stream].vms {
		if err = w.connect(); err == nil {
			return nil
		}
		w.load.countConnectError(w.vm, codeOf(err, codeConnect))
	}
	return err
}

// connect opens a session on the next VM and passes on the position that the
// previous session reported.
func (w *worker) connect() error {
	s := &w.load.streams[w.stream]
	w.vm = s.vms[w.next%len(s.vms)]
	w.next++
	config, err := pgconn.ParseConfig(w.load.cluster.URL(w.vm, s.workspace, s.job))
	if err != nil {
		return err
	}
	if w.position != "" {
		config.RuntimeParams[positionParameter] = w.position
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	w.conn, err = pgconn.ConnectConfig(ctx, config)
	if err != nil {
		w.conn = nil
	}
	w.requestsOnVM = 0
	return err
}

// moveIfDue reconnects to the next VM after moveAfter requests on this one.
func (w *worker) moveIfDue() {
	w.requestsOnVM++
	if every := w.load.streams[w.stream].moveAfter; every > 0 && w.requestsOnVM >= every {
		w.close()
		_ = w.connect() // The next request retries and reports the error.
	}
}

func (w *worker) close() {
	if w.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = w.conn.Close(ctx)
	w.conn = nil
}

func (l *load) countConnectError(vm int, code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connectErrors[fmt.Sprintf("%s on %s", code, l.cluster.Daemons[vm].ID)]++
}

// connectErrorSummary lists the failed attempts to connect, after which the
// workers tried another VM.
func (l *load) connectErrorSummary() string {
	if len(l.connectErrors) == 0 {
		return "no attempt to connect failed"
	}
	var list []string
	for what, n := range l.connectErrors {
		list = append(list, fmt.Sprintf("%d x %s", n, what))
	}
	slices.Sort(list)
	return "attempts to connect that failed: " + strings.Join(list, ", ")
}

func (l *load) addUnsent(s sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsent = append(l.unsent, s)
}

func (l *load) add(s sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}
