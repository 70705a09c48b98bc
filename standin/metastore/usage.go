package metastore

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// Usage takes the reports of usage and checks them as the platform does.
type Usage struct {
	mu sync.Mutex
	// windows are the accepted reports, holders the senders by token.
	windows map[int64]map[string]uint64
	holders map[uint64]string
	highest uint64
	faults  []string
	// loseAnswers is true while reports are taken without an answer.
	loseAnswers bool
}

// Reports returns the accepted reports by window.
func (u *Usage) Reports() map[int64]map[string]uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.windows)
}

// Faults returns the rules that reports have broken: two different reports for one window,
// and one token of two holders.
func (u *Usage) Faults() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.faults...)
}

// LoseAnswers makes the service take reports without an answer, or ends that.
func (u *Usage) LoseAnswers(lose bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loseAnswers = lose
}

func (u *Usage) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window *int64            `json:"window-seq"`
		Counts map[string]uint64 `json:"counts"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Lease-Holder")
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil || holder == "" || body.Window == nil || body.Counts == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if other, found := u.holders[token]; found && other != holder {
		u.faults = append(u.faults, fmt.Sprintf("token %d is used by %s and %s", token, other, holder))
	}
	if token < u.highest {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if u.holders == nil {
		u.holders, u.windows = map[uint64]string{}, map[int64]map[string]uint64{}
	}
	u.holders[token], u.highest = holder, token
	if old, found := u.windows[*body.Window]; found && !maps.Equal(old, body.Counts) {
		u.faults = append(u.faults, fmt.Sprintf("window %d is reported with %v and %v", *body.Window, old, body.Counts))
	}
	u.windows[*body.Window] = body.Counts
	if u.loseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}
