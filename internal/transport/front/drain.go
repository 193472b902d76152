package front

import (
	"time"

	"mothrouter/internal/drain"
)

// Drain starts a drain: clients move to other brokers while the process keeps running. Rejoin ends the drain.
func (f *Front) Drain() {
	f.mu.Lock()
	f.drain.Start(time.Now())
	f.mu.Unlock()
	time.AfterFunc(drain.CloseIdleDelay(), f.wakeAll)
}

// Rejoin ends a drain.
func (f *Front) Rejoin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drain.Cancel()
}

// AcceptsClients reports whether new clients should connect.
func (f *Front) AcceptsClients() bool {
	f.mu.Lock()
	accepts := !f.shutdown.announceClose && f.drain.IsUp()
	f.mu.Unlock()
	return accepts && f.core.Ready()
}

// RejectsRequests reports whether a drain has reached the stage at which every front rejects requests.
func (f *Front) RejectsRequests() bool {
	_, rejects := f.drainState()
	return rejects
}

// drainState reports whether a drain marks the process as down for clients, and whether it rejects requests.
func (f *Front) drainState() (down, rejects bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.drain.IsUp(), f.drain.RejectsRequests(time.Now())
}
