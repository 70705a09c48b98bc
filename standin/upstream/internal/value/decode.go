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

// DecodeError reports a parameter that cannot be decoded.
type DecodeError struct {
	OID    uint32
	Format int16
	Cause  string
}

// Error returns the type, the format and the cause.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("parameter of type %d in format %d: %s", e.OID, e.Format, e.Cause)
}

// Decode returns the value of a parameter for SQLite. It returns Null if raw is
// nil.
func Decode(oid uint32, format int16, raw []byte) (any, error) {
	if raw == nil {
		return Null{}, nil
	}
	var v any
	var err error
	if format == BinaryFormat {
		v, err = decodeBinary(oid, raw)
	} else {
		v, err = decodeText(oid, string(raw))
	}
	if err != nil {
		return nil, &DecodeError{OID: oid, Format: format, Cause: err.Error()}
	}
	return v, nil
}

func decodeText(oid uint32, text string) (any, error) {
	switch oid {
	case Int2OID, Int4OID, Int8OID:
		return strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	case Float4OID, Float8OID, NumericOID:
		return decodeNumber(text)
	case BoolOID:
		return decodeBool(text)
	case ByteaOID:
		return decodeBytea(text)
	}
	return text, nil
}

func decodeNumber(text string) (any, error) {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n, nil
	}
	return strconv.ParseFloat(text, 64)
}

// decodeBool returns 0 or 1, because SQLite has no boolean type.
func decodeBool(text string) (any, error) {
	switch strings.ToLower(strings.TrimSpace(text)) {
	case "t", "true", "y", "yes", "on", "1":
		return int64(1), nil
	case "f", "false", "n", "no", "off", "0":
		return int64(0), nil
	}
	return nil, fmt.Errorf("%q is not a boolean", text)
}

func decodeBytea(text string) (any, error) {
	if digits, found := strings.CutPrefix(text, `\x`); found {
		return hex.DecodeString(digits)
	}
	return []byte(text), nil
}

func decodeBinary(oid uint32, raw []byte) (any, error) {
	if size := Size(oid); size >= 0 && len(raw) != int(size) {
		return nil, fmt.Errorf("%d bytes, want %d", len(raw), size)
	}
	switch oid {
	case Int2OID:
		return int64(int16(binary.BigEndian.Uint16(raw))), nil
	case Int4OID:
		return int64(int32(binary.BigEndian.Uint32(raw))), nil
	case Int8OID:
		return int64(binary.BigEndian.Uint64(raw)), nil
	case Float4OID:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(raw))), nil
	case Float8OID:
		return math.Float64frombits(binary.BigEndian.Uint64(raw)), nil
	case BoolOID:
		return int64(raw[0]), nil
	case ByteaOID:
		return append([]byte{}, raw...), nil
	case TextOID, VarcharOID, UnknownOID:
		return string(raw), nil
	case TimestampOID, TimestamptzOID:
		micros := int64(binary.BigEndian.Uint64(raw))
		return epoch.Add(time.Duration(micros) * time.Microsecond).Format(timeLayout), nil
	case DateOID:
		days := int32(binary.BigEndian.Uint32(raw))
		return epoch.AddDate(0, 0, int(days)).Format(dateLayout), nil
	case UUIDOID:
		return formatUUID(raw), nil
	}
	return nil, fmt.Errorf("the binary format of this type is not supported")
}

func formatUUID(raw []byte) string {
	return fmt.Sprintf("%x-%x-%x-%x-%x", raw[0:4], raw[4:6], raw[6:8], raw[8:10], raw[10:16])
}
