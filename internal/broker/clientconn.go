package broker

import "time"

// ClientConn is the connection on which a client waits for the answer to a request.
type ClientConn interface {
	// State returns whether the client is still there. Any goroutine may call it; it does not block.
	State() ClientState
}

// ClientState is what is known of a client.
type ClientState int

const (
	// ClientConnected means that the client was there at most MaxUnconfirmed ago, or the front cannot detect a disconnect.
	ClientConnected ClientState = iota
	// ClientDisconnected means that the client has closed its connection or cancelled the request. The state is final.
	ClientDisconnected
	// ClientUnconfirmed means that bytes of the client have been unread for longer, and its disconnect may stand behind them.
	ClientUnconfirmed
)

const (
	// MaxUnconfirmed is how long after it was last confirmed a client counts as connected. An attempt that begins 100 ms after
	// its client's disconnect breaks a rule.
	MaxUnconfirmed = 50 * time.Millisecond

	// confirmInterval is how often an attempt that waits for its client's confirmation checks it.
	confirmInterval = 5 * time.Millisecond

	// maxConfirmWait is how long an attempt waits for its client's confirmation at most, before the Decider decides anew.
	maxConfirmWait = 150 * time.Millisecond
)

// clientState returns the state of the request's client.
func (r *Request) clientState() ClientState {
	if r.Conn == nil {
		return ClientConnected
	}
	return r.Conn.State()
}

// disconnected reports whether the client is known to have disconnected.
func (r *Request) disconnected() bool { return r.clientState() == ClientDisconnected }
