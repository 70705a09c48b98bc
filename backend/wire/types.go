package wire

// Types of messages that a client sends.
const (
	Bind         = 'B'
	Close        = 'C'
	CopyData     = 'd'
	CopyDone     = 'c'
	CopyFail     = 'f'
	Describe     = 'D'
	Execute      = 'E'
	Flush        = 'H'
	FunctionCall = 'F'
	Parse        = 'P'
	Query        = 'Q'
	Sync         = 'S'
	Terminate    = 'X'
)

// Types of messages that a server sends.
const (
	BindComplete         = '2'
	CloseComplete        = '3'
	CommandComplete      = 'C'
	CopyInResponse       = 'G'
	CopyBothResponse     = 'W'
	DataRow              = 'D'
	EmptyQueryResponse   = 'I'
	ErrorResponse        = 'E'
	NoData               = 'n'
	NoticeResponse       = 'N'
	NotificationResponse = 'A'
	ParameterDescription = 't'
	ParameterStatus      = 'S'
	ParseComplete        = '1'
	PortalSuspended      = 's'
	ReadyForQuery        = 'Z'
	RowDescription       = 'T'
)

// Values of ReadyForQuery.
const (
	// Idle is outside a transaction.
	Idle byte = 'I'
	// InTransaction is inside a transaction.
	InTransaction byte = 'T'
	// FailedTransaction is inside a transaction that can only be rolled back.
	FailedTransaction byte = 'E'
)
