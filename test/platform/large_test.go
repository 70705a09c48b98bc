package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/platform"
	"github.com/chervilhatch/chervilhatch/store"
)

// wireItem is an item as the store sends it.
type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// maxValue is the size of the largest value that the store accepts, in bytes.
const maxValue = 1 << 20

func items(n, size int) []wireItem {
	list := make([]wireItem, n)
	for i := range list {
		list[i] = wireItem{Key: "op/" + strconv.Itoa(i), Value: []byte(strings.Repeat("v", size)), Revision: int64(i + 1)}
	}
	return list
}

// serveBody starts a store that answers each call with the body, in pieces with pauses between
// them. A pause before the last piece that is longer than the client's timeout stalls it.
func serveBody(t *testing.T, body []byte, pieces int, pause, lastPause time.Duration) *platform.Store {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range pieces {
			if _, err := w.Write(body[len(body)*i/pieces : len(body)*(i+1)/pieces]); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			next := pause
			if i == pieces-2 {
				next = lastPause
			}
			select {
			case <-time.After(next):
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	return platform.NewStore(strings.TrimPrefix(s.URL, "http://"), 300*time.Millisecond, 300*time.Millisecond, metrics.NewRegistry())
}

// Guards against a list that is never read because one large entry of another writer takes
// longer than a call's timeout on the link of a small VM, and against an answer that is
// awaited although nothing more arrives, or for ever.
func TestLargeAnswerOverASlowLink(t *testing.T) {
	body, err := json.Marshal(map[string]any{"items": items(1, maxValue), "has-more": false, "store-revision": 9})
	if err != nil {
		t.Fatal(err)
	}
	s := serveBody(t, body, 15, 100*time.Millisecond, 100*time.Millisecond)
	if found, _, err := s.Range(context.Background(), "op/", 0); err != nil || len(found) != 1 || len(found[0].Value) != maxValue {
		t.Errorf("%d items, %v", len(found), err)
	}
	for name, stalled := range map[string]*platform.Store{
		"stalls":       serveBody(t, body, 3, 50*time.Millisecond, 20*time.Second),
		"never begins": serveBody(t, body, 2, 0, 20*time.Second),
		"trickles":     serveBody(t, body, 200, 100*time.Millisecond, 100*time.Millisecond),
	} {
		begin := time.Now()
		_, _, err := stalled.Range(context.Background(), "op/", 0)
		if took := time.Since(begin); !errors.Is(err, store.ErrUnavailable) || took > 4*time.Second {
			t.Errorf("%s: %v after %v", name, err, took)
		}
	}
}

// Guards against a part of a list that counts as all of it, and against a list that is read for
// ever: a page announces more and has nothing, or nothing new.
func TestPageThatDoesNotGoOn(t *testing.T) {
	for n := range 2 {
		body, err := json.Marshal(map[string]any{"items": items(n, 1), "has-more": true, "store-revision": 9})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		found, _, err := serveBody(t, body, 1, 0, 0).Range(ctx, "op/", 0)
		if !errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
			t.Errorf("pages of %d items: %d items, %v", n, len(found), err)
		}
		cancel()
	}
}

// Guards against a watch that asks for the same changes for ever, because they are more than
// the client accepts in one answer: the keys have to be read again.
func TestWatchWithMoreChangesThanAnAnswerHolds(t *testing.T) {
	for _, n := range []int{1, 2, 5, 14} {
		body, err := json.Marshal(map[string]any{"events": items(n, maxValue), "store-revision": 99})
		if err != nil {
			t.Fatal(err)
		}
		s := serveBody(t, body, 1, 0, 0)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		got := 0
		err = s.Watch(ctx, "op/", 1, func(c store.Change) {
			got += len(c.KVs)
			cancel()
		})
		cancel()
		if got != n && !errors.Is(err, store.ErrCompacted) {
			t.Errorf("%d changes of %d bytes: got %d, %v", n, maxValue, got, err)
		}
	}
}
