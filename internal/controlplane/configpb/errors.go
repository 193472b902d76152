package configpb

const (
	// NotAppended is the reason of an errdetails.ErrorInfo in the details of UNAVAILABLE: the publication was surely not
	// appended to the log. Without it the outcome is unknown.
	NotAppended = "NOT_TAKEN"
	// ErrorDomain is the domain of that ErrorInfo.
	ErrorDomain = "mothrouter.config"
)
