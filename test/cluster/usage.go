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

// clockTick is the unit of processor times in /proc; Linux reports them to
// programs in hundredths of a second on all architectures that Go supports.
const clockTick = 10 * time.Millisecond

// Fields of /proc/<pid>/stat after the process name, counted from 0.
const (
	statUserTime      = 11
	statSystemTime    = 12
	statResidentPages = 21
)

var errStat = errors.New("unexpected form of /proc/<pid>/stat")

// Usage is what a process has used.
type Usage struct {
	CPUTime time.Duration
	// ResidentBytes is the memory in bytes.
	ResidentBytes int64
}

// Usage reads the daemon's processor time and memory.
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

// Metrics reads the daemon's metrics page.
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
