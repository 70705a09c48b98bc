package upstream

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"

	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/value"
)

// pgError is an error with its SQLSTATE.
type pgError struct {
	code    string
	message string
}

// Error returns the SQLSTATE and the message.
func (e *pgError) Error() string { return e.code + ": " + e.message }

// SQLSTATEs that the stand-in returns.
const (
	codeProtocolViolation  = "08P01"
	codeNotSupported       = "0A000"
	codeInvalidText        = "22P02"
	codeConstraint         = "23000"
	codeNotNull            = "23502"
	codeForeignKey         = "23503"
	codeUnique             = "23505"
	codeCheck              = "23514"
	codeReadOnly           = "25006"
	codeFailedTransaction  = "25P02"
	codeUnknownStatement   = "26000"
	codeWrongPassword      = "28P01"
	codeUnknownPortal      = "34000"
	codeSerialization      = "40001"
	codeSyntax             = "42601"
	codeUnknownColumn      = "42703"
	codeUnknownFunction    = "42883"
	codeUnknownTable       = "42P01"
	codeDuplicateStatement = "42P05"
	codeDuplicateTable     = "42P07"
	codeTooManyConnections = "53300"
	codeTooLarge           = "54000"
	codeNotInRequiredState = "55000"
	codeLockNotAvailable   = "55P03"
	codeCanceled           = "57014"
	codeCannotConnectNow   = "57P03"
	codeInternal           = "XX000"
)

// Severities of an error response.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// Result codes of SQLite.
const (
	resultBusy              = 5
	resultReadOnly          = 8
	resultInterrupt         = 9
	resultTooBig            = 18
	resultConstraint        = 19
	resultMismatch          = 20
	resultConstraintCheck   = 275
	resultConstraintForeign = 787
	resultConstraintNotNull = 1299
	resultConstraintPrimary = 1555
	resultConstraintUnique  = 2067
	// resultPrimaryMask selects the primary result code in an extended one.
	resultPrimaryMask = 0xff
)

var (
	errReadOnly = &pgError{codeReadOnly, "this upstream is not the primary; the statement was not run"}
	errFenced   = &pgError{codeSerialization, "the transaction was rolled back because this upstream accepted a new term"}
	errFailed   = &pgError{codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block"}
	errCanceled = &pgError{codeCanceled, "canceling statement due to user request"}
)

// resultCodes maps SQLite's extended and primary result codes to SQLSTATEs.
var resultCodes = map[int]string{
	resultConstraintCheck:   codeCheck,
	resultConstraintForeign: codeForeignKey,
	resultConstraintNotNull: codeNotNull,
	resultConstraintPrimary: codeUnique,
	resultConstraintUnique:  codeUnique,
	resultConstraint:        codeConstraint,
	resultBusy:              codeLockNotAvailable,
	resultReadOnly:          codeReadOnly,
	resultInterrupt:         codeCanceled,
	resultTooBig:            codeTooLarge,
	resultMismatch:          codeInvalidText,
}

// messageCodes maps parts of error messages to SQLSTATEs. It is used for errors
// whose result code, such as SQLITE_ERROR, is not in resultCodes.
var messageCodes = []struct{ part, code string }{
	{"no such table", codeUnknownTable},
	{"no such column", codeUnknownColumn},
	{"has no column named", codeUnknownColumn},
	{"no such function", codeUnknownFunction},
	{"already exists", codeDuplicateTable},
	{"syntax error", codeSyntax},
	{"incomplete input", codeSyntax},
	{"unrecognized token", codeSyntax},
	{"values for", codeSyntax},
	{"missing named argument", codeProtocolViolation},
}

// toPGError returns an error with its SQLSTATE.
func toPGError(err error) *pgError {
	var known *pgError
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, context.Canceled) {
		return errCanceled
	}
	var decode *value.DecodeError
	var encode *value.EncodeError
	if errors.As(err, &decode) || errors.As(err, &encode) {
		return &pgError{codeInvalidText, err.Error()}
	}
	return &pgError{sqliteCode(err), err.Error()}
}

func sqliteCode(err error) string {
	var failure *sqlite.Error
	if errors.As(err, &failure) {
		if code := resultCodes[failure.Code()]; code != "" {
			return code
		}
		if code := resultCodes[failure.Code()&resultPrimaryMask]; code != "" {
			return code
		}
	}
	for _, m := range messageCodes {
		if strings.Contains(err.Error(), m.part) {
			return m.code
		}
	}
	return codeInternal
}

// response returns the error as a protocol message.
func (e *pgError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	}
}
