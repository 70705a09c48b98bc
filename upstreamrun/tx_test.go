package upstreamrun

import (
	"errors"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// pooled is a recorder with a connection pool.
type pooled struct {
	recorder
	pool *upstreampool.Pool
}

func (p *pooled) Pool(model.UpstreamID) *upstreampool.Pool { return p.pool }

// Guards against a transaction that commits on a former primary: it began while that one was
// confirmed, and another upstream has been promoted since.
func TestCommitNeedsAConfirmedPrimary(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		g := linegroup.New(linegroup.Options{Service: "db", ConnectionLimit: 4, Slots: 2})
		t.Cleanup(g.Close)
		for _, id := range []string{"a", "b"} {
			if _, err := g.Add(id, "zone"); err != nil {
				t.Fatal(err)
			}
		}
		pool := upstreampool.New(upstreampool.Upstream{ID: "a", Service: "db", Address: g.Server("a").Address()}, connlimit.Share{Base: 1, Max: 1})
		t.Cleanup(pool.Close)
		c := &pooled{recorder: recorder{confirmed: true}, pool: pool}
		deadline := time.Now().Add(5 * time.Second)
		place := Place{Upstream: "a", Service: "db", Workspace: "one", Wait: time.Second, Deadline: deadline}
		tx, _, err := (&Local{Cluster: c}).Open(&OpenRequest{Place: place})
		if err != nil || tx == nil {
			t.Fatal(err)
		}
		send := func(text string, write bool) (upstreampool.Answer, error) {
			return tx.Send(&TxRequest{Statement: Statement{ID: "w-1", Text: text, Write: write}, Wait: time.Second, Deadline: deadline})
		}
		if a, err := send("WRITE item x", true); err != nil || a.Code != "" {
			t.Fatal(a.Code, err)
		}
		c.confirmed = confirmed
		a, err := send("COMMIT", false)
		if committed := len(g.Log()) == 1; committed != confirmed || confirmed && (err != nil || a.Ready.State != lineproto.Idle) {
			t.Errorf("confirmed %t: committed %t, answer %q, %v", confirmed, committed, a.Code, err)
		}
		if !confirmed && (!errors.Is(err, ErrUnconfirmed) || Sent(err)) {
			t.Errorf("unconfirmed commit: %v", err)
		}
	}
}
