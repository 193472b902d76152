package configpb

const (
	// NotAppended is the reason of an errdetails.ErrorInfo in the details of UNAVAILABLE: the publication was certainly not
	// appended to the raft log. Without it the outcome is unknown.
	NotAppended = "NOT_TAKEN"
	// ErrorDomain is the domain of the ErrorInfo.
	ErrorDomain = "mothrouter.config"
)
