package config

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/chervilhatch/chervilhatch/findings"
)

// Keys of the store.
const (
	// CurrentKey holds the newest record.
	CurrentKey    = "config/current"
	historyPrefix = "config/history/"
)

// HistoryKey returns the store key of the record of a version. The version has a
// fixed width, so that keys sort by version.
func HistoryKey(version uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, version)
}

// Record is an accepted change of the configuration, as the store holds it and the
// VMs exchange it.
type Record struct {
	// Version increases by 1 with each change, starting at 1.
	Version uint64 `json:"version"`
	// RequestID is the id of the request that made the change.
	RequestID      string `json:"request_id"`
	Author         string `json:"author"`
	Summary        string `json:"summary"`
	AcceptedUnixMS int64  `json:"accepted_unix_ms"`
	// Document is the text that the operator submitted, including comments.
	Document string `json:"document"`
}

// ErrMalformedRecord is returned for data that is not a stored record.
var ErrMalformedRecord = errors.New("malformed configuration record")

// EncodeRecord returns the stored form of r.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode configuration record: %w", err)
	}
	return data, nil
}

// DecodeRecord parses the stored form of a record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformedRecord, err)
	}
	if r.Version == 0 {
		return Record{}, fmt.Errorf("%w: no version", ErrMalformedRecord)
	}
	return r, nil
}

// Parse decodes and validates the record's document.
func (r Record) Parse() (*Document, findings.List) {
	return Parse(fmt.Sprintf("configuration version %d", r.Version), []byte(r.Document))
}
