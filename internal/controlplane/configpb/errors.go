package configpb

const (
	// NotAppended is the reason of an errdetails.ErrorInfo in the details of UNAVAILABLE: the publication was certainly not
	// appended to the raft log. If the details lack this reason, the outcome is unknown.
	NotAppended = "NOT_TAKEN"
	// ErrorDomain is the domain of the ErrorInfo.
	ErrorDomain = "mothrouter.config"
)
