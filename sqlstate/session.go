package sqlstate

// Standard PostgreSQL codes for errors that concern the session of a caller.
const (
	OutOfMemory        Code = "53200"
	TooManyConnections Code = "53300"
	FailedTransaction  Code = "25P02"
	IdleInTransaction  Code = "25P03"
	UnknownStatement   Code = "26000"
	DuplicateStatement Code = "42P05"
	InvalidParameter   Code = "22023"
)
