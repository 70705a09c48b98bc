package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run, each line with the seconds
// since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
