package configpb

const (
	// NotTaken is the reason of an errdetails.ErrorInfo in the details of UNAVAILABLE: the publication was surely not
	// appended to the log. Without it nobody knows.
	NotTaken = "NOT_TAKEN"
	// ErrorDomain is the domain of that ErrorInfo.
	ErrorDomain = "mothrouter.config"
)
