// Package sqlstate defines the SQLSTATEs that chervilhatch itself returns and
// the error type that carries them. docs/errors.md documents each of them for
// users.
package sqlstate

// Code is a five-character SQLSTATE.
type Code string

// Codes that chervilhatch returns. Codes with R in the third place are specific
// to chervilhatch and mean that the request was certainly not run.
const (
	RateExceeded        Code = "53R01"
	QueueFull           Code = "53R02"
	DeadlineTooClose    Code = "53R03"
	NoPrimary           Code = "57R01"
	NoFreshReplica      Code = "57R02"
	NoMajority          Code = "57R03"
	ConfigUnconfirmed   Code = "57R04"
	ZoneDrained         Code = "57R05"
	UpstreamUnavailable Code = "57R06"
	KeyWithdrawn        Code = "28R01"
	WorkspaceForbidden  Code = "28000"
	WrongKey            Code = "28P01"
	UnknownJob          Code = "3D000"
	NotSupported        Code = "0A000"
	// OutcomeUnknown means that a write may or may not have been committed.
	OutcomeUnknown    Code = "08007"
	ConnectionFailure Code = "08006"
	ProtocolViolation Code = "08P01"
	TooLarge          Code = "54000"
	AdminShutdown     Code = "57P01"
	QueryCanceled     Code = "57014"
	ReadOnly          Code = "25006"
	// CannotConnectNow is returned by an upstream that does not serve
	// statements at the moment, for example a replica that rewinds its log.
	CannotConnectNow Code = "57P03"
)

// Error is an error that chervilhatch sends to a caller.
type Error struct {
	Code    Code
	Message string
	// NotRun is true if the request was certainly not run.
	NotRun bool
	// Fatal is true if the caller's connection is closed after the error.
	Fatal bool
}

// Error returns the SQLSTATE and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// Refuse returns an error for a request that was certainly not run.
func Refuse(code Code, message string) *Error {
	return &Error{Code: code, Message: message + " (not run)", NotRun: true}
}

// Unknown returns an error for a request whose outcome is not known.
func Unknown(message string) *Error {
	return &Error{Code: OutcomeUnknown, Message: message + " (outcome unknown)"}
}
