package linenode

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxConfigBytes limits the size of a decompressed configuration.
const maxConfigBytes = 64 << 20

// compress returns data compressed with gzip.
func compress(data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writes to a buffer never return an error.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// decompress returns the data that was compressed with gzip. Data of more than
// maxConfigBytes is an error.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(data) > maxConfigBytes {
		return nil, fmt.Errorf("decompress: more than %d bytes", maxConfigBytes)
	}
	return data, nil
}
