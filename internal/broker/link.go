package broker

// Client receives the final answer of one query for a front.
type Client interface {
	// Finish delivers the final answer, once. It is called by the loop and must not block.
	Finish(Result)
}

// DisconnectObserver may be implemented by a Client. Disconnected is called instead of Finish when the query ends without an
// answer because the client has disconnected. It is called by the loop and must not block.
type DisconnectObserver interface{ Disconnected() }

// Link sends calls and health checks to record servers. Its methods are called by the loop and must not block.
type Link interface {
	// Send starts a call. The link calls Call.TryStart immediately before it writes the first byte, and Call.Finish with the
	// result.
	Send(*Call)
	// Cancel is called for a call that the core has finished before the link reported a result. The link cancels it at the
	// server if the server may have received it.
	Cancel(*Call)
	// CheckHealth starts a health check. The link calls HealthCheck.TryStart and HealthCheck.Finish as for a call.
	CheckHealth(*HealthCheck)
}
