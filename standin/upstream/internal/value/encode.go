package value

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// EncodeError reports a value that cannot be encoded as the type of its column.
type EncodeError struct {
	OID   uint32
	Value any
}

// Error returns the value and the type.
func (e *EncodeError) Error() string {
	return fmt.Sprintf("value %v does not fit the column's type %d", e.Value, e.OID)
}

// Encode encodes a value that SQLite returned for a column of type oid. It
// returns nil for a nil value.
func Encode(oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if format == BinaryFormat {
		return encodeBinary(oid, v)
	}
	return []byte(encodeText(oid, v)), nil
}

func encodeText(oid uint32, v any) string {
	if b, ok := asBool(v); oid == BoolOID && ok {
		return map[bool]string{true: "t", false: "f"}[b]
	}
	switch v := v.(type) {
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case []byte:
		return `\x` + hex.EncodeToString(v)
	case time.Time:
		return formatTime(oid, v)
	}
	return fmt.Sprint(v)
}

func formatTime(oid uint32, t time.Time) string {
	switch oid {
	case DateOID:
		return t.UTC().Format(dateLayout)
	case TimestamptzOID:
		return t.UTC().Format(timeLayout) + "+00"
	}
	return t.UTC().Format(timeLayout)
}

func encodeBinary(oid uint32, v any) ([]byte, error) {
	switch oid {
	case Int2OID, Int4OID, Int8OID:
		return encodeInt(oid, v)
	case Float4OID, Float8OID:
		return encodeFloat(oid, v)
	case BoolOID:
		return encodeBool(v)
	case ByteaOID:
		return asBytes(v), nil
	case TimestampOID, TimestamptzOID, DateOID:
		return encodeTime(oid, v)
	case UUIDOID:
		return hex.DecodeString(strings.ReplaceAll(encodeText(oid, v), "-", ""))
	case NumericOID:
		return nil, &EncodeError{OID: oid, Value: v}
	}
	return []byte(encodeText(oid, v)), nil
}

func encodeInt(oid uint32, v any) ([]byte, error) {
	n, ok := asInt(v)
	switch {
	case !ok:
		return nil, &EncodeError{OID: oid, Value: v}
	case oid == Int8OID:
		return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
	case oid == Int4OID && n == int64(int32(n)):
		return binary.BigEndian.AppendUint32(nil, uint32(n)), nil
	case oid == Int2OID && n == int64(int16(n)):
		return binary.BigEndian.AppendUint16(nil, uint16(n)), nil
	}
	return nil, &EncodeError{OID: oid, Value: v}
}

func encodeFloat(oid uint32, v any) ([]byte, error) {
	f, err := strconv.ParseFloat(encodeText(oid, v), 64)
	if err != nil {
		return nil, &EncodeError{OID: oid, Value: v}
	}
	if oid == Float4OID {
		return binary.BigEndian.AppendUint32(nil, math.Float32bits(float32(f))), nil
	}
	return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
}

func encodeBool(v any) ([]byte, error) {
	b, ok := asBool(v)
	switch {
	case !ok:
		return nil, &EncodeError{OID: BoolOID, Value: v}
	case b:
		return []byte{1}, nil
	}
	return []byte{0}, nil
}

func encodeTime(oid uint32, v any) ([]byte, error) {
	t, ok := asTime(v)
	if !ok {
		return nil, &EncodeError{OID: oid, Value: v}
	}
	if oid == DateOID {
		return binary.BigEndian.AppendUint32(nil, uint32(int32(t.Sub(epoch)/day))), nil
	}
	return binary.BigEndian.AppendUint64(nil, uint64(t.Sub(epoch)/time.Microsecond)), nil
}

// timeLayouts are the layouts in which clients and SQLite write times.
var timeLayouts = []string{
	"2006-01-02 15:04:05Z07:00",
	"2006-01-02 15:04:05Z07",
	"2006-01-02T15:04:05Z07:00",
	timeLayout,
	dateLayout,
}

func asTime(v any) (time.Time, bool) {
	switch v := v.(type) {
	case time.Time:
		return v, true
	case string:
		for _, layout := range timeLayouts {
			if t, err := time.Parse(layout, v); err == nil {
				return t, true
			}
		}
	}
	return time.Time{}, false
}

func asInt(v any) (int64, bool) {
	switch v := v.(type) {
	case int64:
		return v, true
	case bool:
		return map[bool]int64{true: 1, false: 0}[v], true
	case float64:
		return int64(v), v == math.Trunc(v)
	case string:
		n, err := strconv.ParseInt(v, 10, 64)
		return n, err == nil
	}
	return 0, false
}

func asBool(v any) (value, ok bool) {
	switch v := v.(type) {
	case bool:
		return v, true
	case int64:
		return v != 0, true
	case string:
		n, err := decodeBool(v)
		return n == int64(1), err == nil
	}
	return false, false
}

func asBytes(v any) []byte {
	if b, ok := v.([]byte); ok {
		return b
	}
	return []byte(encodeText(ByteaOID, v))
}
