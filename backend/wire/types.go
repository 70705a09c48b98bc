package wire

// Types of messages sent by a client (frontend).
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

// Types of messages sent by a server (backend).
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

// Transaction status in ReadyForQuery.
const (
	// Idle means that no transaction is open.
	Idle byte = 'I'
	// InTransaction means that a transaction is open.
	InTransaction byte = 'T'
	// FailedTransaction means that the open transaction has failed and can only
	// be rolled back.
	FailedTransaction byte = 'E'
)
