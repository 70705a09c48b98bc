package holder_test

import (
	"bytes"
	"crypto/sha256"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	upstreamPassword = "proxy-password"
	upstreamTerm     = "7.vm-a1"
)

// upstream is a scripted server of a database group that speaks the PostgreSQL
// protocol.
type upstream struct {
	address string
	replica bool
	// noSettings makes the upstream refuse SET statements.
	noSettings bool
	// drop is called at each point (received, executed, answered) of a statement;
	// if it returns true, the upstream closes the connection.
	drop func(point, sql string) bool

	mu       sync.Mutex
	received bytes.Buffer
	position int
	writes   int
	conns    int
	parses   int
	cancels  chan struct{}
	hanging  chan struct{}
}

// upstreamConn is one connection of the scripted upstream.
type upstreamConn struct {
	u        *upstream
	net      net.Conn
	pg       *pgproto3.Backend
	status   byte
	readOnly bool
	prepared map[string]string
	portal   string
	failed   bool
}

func startUpstream(t *testing.T) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &upstream{
		address: l.Addr().String(),
		drop:    func(string, string) bool { return false },
		cancels: make(chan struct{}, 10),
		hanging: make(chan struct{}, 10),
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

// recordingConn records everything that the upstream receives.
type recordingConn struct {
	net.Conn
	u *upstream
}

func (r recordingConn) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.u.mu.Lock()
	r.u.received.Write(p[:n])
	r.u.mu.Unlock()
	return n, err
}

func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	c := &upstreamConn{u: u, net: conn, status: 'I', prepared: map[string]string{}}
	c.pg = pgproto3.NewBackend(recordingConn{conn, u}, conn)
	first, err := c.pg.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := first.(*pgproto3.CancelRequest); ok {
		select {
		case u.cancels <- struct{}{}:
		default:
		}
		return
	}
	if !c.login() {
		return
	}
	u.mu.Lock()
	u.conns++
	u.mu.Unlock()
	for c.step() {
	}
}

func (c *upstreamConn) login() bool {
	client, _ := scram.SHA256.NewClient("", upstreamPassword, "")
	stored, _ := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	server, _ := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	conversation := server.NewConversation()
	c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	_ = c.pg.SetAuthType(pgproto3.AuthTypeSASL)
	message, err := c.pg.Receive()
	if err != nil {
		return false
	}
	challenge, _ := conversation.Step(string(message.(*pgproto3.SASLInitialResponse).Data))
	c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	_ = c.pg.SetAuthType(pgproto3.AuthTypeSASLContinue)
	if message, err = c.pg.Receive(); err != nil {
		return false
	}
	final, err := conversation.Step(string(message.(*pgproto3.SASLResponse).Data))
	if err != nil {
		c.send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01"})
		return false
	}
	c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)}, &pgproto3.AuthenticationOk{},
		&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: make([]byte, 4)}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	return true
}

func (c *upstreamConn) send(messages ...pgproto3.BackendMessage) {
	for _, m := range messages {
		c.pg.Send(m)
	}
	_ = c.pg.Flush()
}

// step handles one message; the connection is closed if it returns false.
func (c *upstreamConn) step() bool {
	message, err := c.pg.Receive()
	if err != nil {
		return false
	}
	if _, ok := message.(*pgproto3.Sync); !ok && c.failed {
		return true
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		alive := c.execute(m.String, true)
		c.failed = false
		return alive && c.ready(m.String)
	case *pgproto3.Parse:
		c.parse(m)
	case *pgproto3.Bind:
		c.bind(m)
	case *pgproto3.Describe:
		c.send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		return c.execute(c.portal, false)
	case *pgproto3.Close:
		delete(c.prepared, m.Name)
		c.send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.failed = false
		return c.ready("")
	default:
		return false
	}
	return true
}

func (c *upstreamConn) ready(sql string) bool {
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	return !c.u.drop("answered", sql)
}

func (c *upstreamConn) parse(m *pgproto3.Parse) {
	c.u.mu.Lock()
	c.u.parses++
	c.u.mu.Unlock()
	if _, exists := c.prepared[m.Name]; exists && m.Name != "" {
		c.fail("42P05")
		return
	}
	if strings.HasPrefix(m.Query, "WRONG") {
		c.fail("42601")
		return
	}
	c.prepared[m.Name] = m.Query
	c.send(&pgproto3.ParseComplete{})
}

func (c *upstreamConn) bind(m *pgproto3.Bind) {
	sql, ok := c.prepared[m.PreparedStatement]
	if !ok {
		c.fail("26000")
		return
	}
	c.portal = sql
	c.send(&pgproto3.BindComplete{})
}

func (c *upstreamConn) fail(code string) {
	c.failed = true
	if c.status == 'T' {
		c.status = 'E'
	}
	c.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "scripted"})
}

// execute runs one statement; the connection is closed if it returns false.
func (c *upstreamConn) execute(sql string, simple bool) bool {
	if c.u.drop("received", sql) {
		return false
	}
	word, _, _ := strings.Cut(sql, " ")
	switch {
	case sql == "SELECT chervilhatch_position()":
		c.u.mu.Lock()
		position := strconv.Itoa(c.u.position)
		c.u.mu.Unlock()
		c.row(simple, upstreamTerm, position)
	case word == "SET" && c.u.noSettings:
		c.fail("42704")
	case strings.HasPrefix(sql, "SET default_transaction_read_only"):
		c.readOnly = strings.HasSuffix(sql, "on")
		c.tag("SET")
	case sql == "SELECT hang":
		c.u.hanging <- struct{}{}
		<-c.u.cancels
		c.fail("57014")
	case sql == "INSERT duplicate":
		c.fail("23505")
	case sql == "SELECT rewinding":
		c.fail("57P03")
	case word == "INSERT" || sql == "SELECT insert()":
		return c.write(sql)
	case word == "SELECT":
		c.row(simple, strings.TrimPrefix(sql, "SELECT "))
	case word == "COPY":
		c.send(&pgproto3.CopyInResponse{})
	default:
		c.executeControl(word)
	}
	return true
}

func (c *upstreamConn) executeControl(word string) {
	switch word {
	case "BEGIN":
		c.status = 'T'
	case "COMMIT", "ROLLBACK":
		if c.status == 'E' {
			word = "ROLLBACK"
		}
		c.status = 'I'
	}
	c.tag(word)
}

func (c *upstreamConn) write(sql string) bool {
	if c.u.replica || c.readOnly {
		c.fail("25006")
		return true
	}
	c.u.mu.Lock()
	c.u.position++
	c.u.writes++
	c.u.mu.Unlock()
	if c.u.drop("executed", sql) {
		return false
	}
	c.tag("INSERT 0 1")
	return true
}

func (c *upstreamConn) tag(tag string) {
	c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (c *upstreamConn) row(simple bool, columns ...string) {
	row := &pgproto3.DataRow{}
	fields := []pgproto3.FieldDescription{}
	for _, column := range columns {
		row.Values = append(row.Values, []byte(column))
		fields = append(fields, pgproto3.FieldDescription{Name: []byte("c"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1})
	}
	if simple {
		c.send(&pgproto3.RowDescription{Fields: fields})
	}
	c.send(row)
	c.tag("SELECT 1")
}

func (u *upstream) count(counter *int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return *counter
}

func (u *upstream) bytes() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return bytes.Clone(u.received.Bytes())
}

// verifierOf derives a key's SCRAM verifier with few iterations, to keep tests fast.
func verifierOf(key string) scram.StoredCredentials {
	client, _ := scram.SHA256.NewClient("", key, "")
	salt := sha256.Sum256([]byte("salt"))
	stored, _ := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt[:16]), Iters: 4096})
	return stored
}
