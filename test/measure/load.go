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

// Codes of samples that are no SQLSTATE.
const (
	codeOK = ""
	// codeLost is a connection that ended without an answer, so that the
	// outcome is unknown, and codeConnect one that could not be opened.
	codeLost    = "connection lost"
	codeConnect = "no connection"
)

// positionParameter is the startup parameter and parameter status of a
// session's position.
const positionParameter = "chervilhatch.position"

// connectTimeout bounds a connection attempt of the load; the VM may be dead.
const connectTimeout = 2 * time.Second

// reconnectPause keeps callers of a dead VM from connecting in a tight loop.
const reconnectPause = 20 * time.Millisecond

// statement is one request of a stream.
type statement struct {
	sql   string
	write bool
	// id is the row that a write inserts, or "".
	id string
}

// stream is open-loop load: requests arrive at random times that do not depend
// on the answers, and wait for a free connection of the stream.
type stream struct {
	workspace model.Workspace
	job       model.Job
	// vms are the indexes of the daemons that the connections are spread over.
	vms []int
	// rate is in requests a second.
	rate  float64
	conns int
	// moveAfter makes a session move to the next VM after this many requests.
	moveAfter int
	seed      uint64
	// statement returns the n-th request.
	statement func(rng *rand.Rand, n int) statement
}

// sample is the result of one request. Times count from the load's start, and
// a latency counts from the arrival, so that waiting in the load generator is
// not omitted.
type sample struct {
	stream int
	// session numbers the connection of the load over its moves.
	session int
	vm      int
	arrival time.Duration
	// sent is when a connection was free for the request.
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
	// unsent are the requests that had no connection before the end.
	unsent []sample
	// connectErrors counts the attempts to connect that failed.
	connectErrors map[string]int
}

// startLoad connects and begins the load.
func startLoad(ctx context.Context, c *cluster.Cluster, streams []stream) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cluster: c, streams: streams, start: time.Now(), cancel: cancel, connectErrors: map[string]int{}}
	for i := range streams {
		l.run(ctx, i)
	}
	return l
}

// elapsed returns the time of now on the clock of the samples.
func (l *load) elapsed() time.Duration { return time.Since(l.start) }

// stop ends the arrivals, waits for the answers to all requests that were sent
// and returns the samples. Requests that still wait for a connection then are
// counted as unsent.
func (l *load) stop() []sample {
	l.cancel()
	l.done.Wait()
	return l.samples
}

// queuedRequest is a request that waits for a connection.
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

// queueSeconds bounds the requests that wait in a stream, in seconds of its rate.
const queueSeconds = 20

// generate sends requests into the queue at exponentially distributed distances.
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

// worker is one connection of a stream.
type worker struct {
	load    *load
	stream  int
	session int
	// next counts the connections that were opened, to choose the VM.
	next     int
	vm       int
	conn     *pgconn.PgConn
	used     int
	position string
}

func (w *worker) run(ctx context.Context, queue <-chan queuedRequest) {
	defer w.close()
	_ = w.connect() // The first request tries again and reports the error.
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

// codeStopping ends an idle session of a VM that stops or drains.
const codeStopping = "57P01"

// request executes a statement and returns the code of its result. As a
// connection pool does, it connects again and sends the statement once more if
// the session had ended before the statement was sent.
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

// connectAny tries the VMs of the stream in turn, as a driver does that knows
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

// connect opens the session on the next VM, with the position that it had on
// the last one.
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
	w.used = 0
	return err
}

// moveIfDue ends the session on this VM when it has to roam.
func (w *worker) moveIfDue() {
	w.used++
	if every := w.load.streams[w.stream].moveAfter; every > 0 && w.used >= every {
		w.close()
		_ = w.connect() // The next request tries again and reports the error.
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

// connectErrorSummary lists the attempts to connect that failed; the load
// connected to another VM then.
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
