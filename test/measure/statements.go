package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
)

// lastRow numbers the inserted rows, so that each write has a unique row ID.
var lastRow atomic.Uint64

func readItem(rng *rand.Rand, _ int) statement {
	return statement{sql: fmt.Sprintf("SELECT name FROM item WHERE id = %d", rng.IntN(itemRows))}
}

func insertRow(*rand.Rand, int) statement {
	id := fmt.Sprintf("row-%d", lastRow.Add(1))
	return statement{sql: "INSERT INTO ledger VALUES ('" + id + "')", write: true, id: id}
}

// mixed returns a generator of statements of which the given share are writes.
func mixed(writes float64) func(*rand.Rand, int) statement {
	return func(rng *rand.Rand, n int) statement {
		if rng.Float64() < writes {
			return insertRow(rng, n)
		}
		return readItem(rng, n)
	}
}
