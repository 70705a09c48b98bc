package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc. Linux reports them in hundredths
// of a second on all architectures that Go supports.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/<pid>/stat, counted from 0 after the process name.
const (
	statUserTime      = 11
	statSystemTime    = 12
	statResidentPages = 21
)

var errStat = errors.New("unexpected form of /proc/<pid>/stat")

// Usage is the CPU time that a process has used and its resident memory.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int64
}

// Usage reads the daemon's CPU time and resident memory from /proc.
func (d *Daemon) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statResidentPages {
		return Usage{}, errStat
	}
	numbers := map[int]int64{}
	for _, i := range []int{statUserTime, statSystemTime, statResidentPages} {
		if numbers[i], err = strconv.ParseInt(fields[i], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPUTime:       time.Duration(numbers[statUserTime]+numbers[statSystemTime]) * clockTick,
		ResidentBytes: numbers[statResidentPages] * int64(os.Getpagesize()),
	}, nil
}

// Metrics reads the daemon's metrics from its admin address.
func (d *Daemon) Metrics(ctx context.Context) (map[string]map[string]any, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.AdminAddress+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var page map[string]map[string]any
	return page, json.NewDecoder(response.Body).Decode(&page)
}
