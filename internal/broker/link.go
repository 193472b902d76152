package broker

// Client is a front's end of one query.
type Client interface {
	// Finish delivers the final answer, once. It is called by the loop and must not block.
	Finish(Result)
}

// DisconnectObserver is a Client that is notified when its query is dropped without an answer, because the client has
// disconnected. Disconnected is called by the loop and must not block.
type DisconnectObserver interface{ Disconnected() }

// Link carries calls and health checks to record servers. Its methods are called by the loop and must not block.
type Link interface {
	// Send starts a call. The link calls Call.TryStart just before the first byte and Call.Finish with the result.
	Send(*Call)
	// Cancel is called for a call that has finished without a result of the link. The link cancels it at the server, if
	// the server may have received it.
	Cancel(*Call)
	// CheckHealth starts a health check. The link calls HealthCheck.TryStart and HealthCheck.Finish as for a call.
	CheckHealth(*HealthCheck)
}
