package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// The record has what was sent, answered and run, with seconds since the start.
var (
	recordMu   sync.Mutex
	recordFile *bufio.Writer
	started    = time.Now()
)

func openRecord(path string) func() {
	f, err := os.Create(path)
	must(err)
	recordFile = bufio.NewWriter(f)
	return func() {
		recordMu.Lock()
		defer recordMu.Unlock()
		recordFile.Flush()
		f.Close()
	}
}

func note(who, text string) { noteAt(time.Now(), who, text) }

func noteAt(at time.Time, who, text string) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%9.3f %-12s %s\n", at.Sub(started).Seconds(), who, text)
	}
}

// verdict prints and records a line of the result.
func verdict(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	note("verdict", text)
	fmt.Println(text)
}

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		panic(cannotRun{err}.String())
	}
}

type cannotRun struct{ err error }

func (c cannotRun) String() string { return c.err.Error() }
