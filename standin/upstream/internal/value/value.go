// Package value converts values between SQLite and the text and binary formats
// of the PostgreSQL protocol.
package value

import (
	"database/sql/driver"
	"strings"
	"time"

	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
)

// OIDs of the supported PostgreSQL types.
const (
	UnknownOID     = 0
	BoolOID        = 16
	ByteaOID       = 17
	Int8OID        = 20
	Int2OID        = 21
	Int4OID        = 23
	TextOID        = 25
	Float4OID      = 700
	Float8OID      = 701
	VarcharOID     = 1043
	DateOID        = 1082
	TimestampOID   = 1114
	TimestamptzOID = 1184
	NumericOID     = 1700
	UUIDOID        = 2950
)

// Format codes of parameters and columns.
const (
	TextFormat   = 0
	BinaryFormat = 1
)

// Null is the SQL null value as an argument of a statement. gob can encode it,
// unlike a nil interface value.
type Null struct{}

// Value implements driver.Valuer.
func (Null) Value() (driver.Value, error) { return nil, nil }

// typeOIDs maps the names of declared types to OIDs. INTEGER is described as int8
// because integers have 64 bits in SQLite. NUMERIC is described as float8 because
// SQLite has no exact decimals.
var typeOIDs = map[string]uint32{
	"bool": BoolOID, "boolean": BoolOID,
	"bytea": ByteaOID, "blob": ByteaOID,
	"int8": Int8OID, "bigint": Int8OID, "integer": Int8OID, "int": Int8OID,
	"int2": Int2OID, "smallint": Int2OID, "int4": Int4OID,
	"text": TextOID, "char": TextOID, "character": TextOID, "name": TextOID,
	"json": TextOID, "jsonb": TextOID, "varchar": VarcharOID,
	"float4": Float4OID, "float8": Float8OID, "real": Float8OID,
	"float": Float8OID, "double": Float8OID,
	"date": DateOID, "timestamp": TimestampOID, "datetime": TimestampOID,
	"timestamptz": TimestamptzOID,
	"numeric":     Float8OID, "decimal": Float8OID,
	"uuid": UUIDOID,
}

// OID returns the OID of a declared type such as "VARCHAR(10)", or UnknownOID if
// the type is not supported.
func OID(t sqltext.Type) uint32 {
	name := strings.ToLower(string(t))
	if end := strings.IndexAny(name, " ("); end >= 0 {
		name = name[:end]
	}
	return typeOIDs[name]
}

// DynamicOID returns the OID for a value that SQLite returned.
func DynamicOID(v any) uint32 {
	switch v.(type) {
	case int64:
		return Int8OID
	case float64:
		return Float8OID
	case []byte:
		return ByteaOID
	case bool:
		return BoolOID
	case time.Time:
		return TimestampOID
	}
	return TextOID
}

// Size returns the size of a type in bytes, as RowDescription reports it, or -1 if
// the size varies.
func Size(oid uint32) int16 {
	switch oid {
	case BoolOID:
		return 1
	case Int2OID:
		return 2
	case Int4OID, Float4OID, DateOID:
		return 4
	case Int8OID, Float8OID, TimestampOID, TimestamptzOID:
		return 8
	case UUIDOID:
		return 16
	}
	return -1
}

// timeLayout is the layout of times in SQLite's date functions and this package.
const timeLayout = "2006-01-02 15:04:05.999999"

// dateLayout is the layout of dates.
const dateLayout = "2006-01-02"

// epoch is the zero value of dates and times in PostgreSQL's binary format.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// day is the unit of dates in the binary format.
const day = 24 * time.Hour
