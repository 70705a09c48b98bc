package lineproxy

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// panickingCluster panics when an operation is admitted or a read is run.
type panickingCluster struct {
	advancingCluster
	inAdmit bool
}

func (c *panickingCluster) Admit(model.Workspace) quota.Decision {
	if c.inAdmit {
		panic("admit")
	}
	return quota.Decision{Admitted: true}
}

func (c *panickingCluster) Run(*upstreamrun.Request) (upstreamrun.Outcome, error) { panic("run") }

// Guards against an unexpected panic in one session, or in a read of it, that ends the
// process or leaves its caller waiting.
func TestPanicEndsOneSessionOnly(t *testing.T) {
	for _, inAdmit := range []bool{true, false} {
		c := &panickingCluster{inAdmit: inAdmit}
		snapshot := &catalog.Snapshot{Version: 1, Routes: []catalog.Route{{
			Database: "db", Service: "s", Anonymous: true, Freshness: catalog.FreshBounded,
			MaxStaleness: time.Second, StatementTimeout: time.Second, TargetLatency: time.Second,
		}}}
		c.start, c.catalog = time.Now(), snapshot.Index()
		server := NewServer(Options{Cluster: c, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() { _ = server.Serve(l) }()
		for range 2 {
			answer := readOnce(t, l.Addr().String())
			if answered := strings.Contains(answer, "FAILED"); answered == inAdmit {
				t.Errorf("panic in Admit %t: answer %q", inAdmit, answer)
			}
		}
	}
}

// readOnce opens a session, sends a read and returns what the server sends until it
// closes the session or has answered.
func readOnce(t *testing.T, address string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	fmt.Fprintf(conn, "STARTUP db -\r\n")
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		t.Fatalf("startup: %q, %v", line, err)
	}
	fmt.Fprintf(conn, "QUERY 0123456789abcdef READ item\r\n")
	line, _ := r.ReadString('\n')
	return line
}
