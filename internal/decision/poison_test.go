package decision_test

import (
	"testing"

	"mothrouter/internal/decision"
)

// A query whose attempts all crash their servers is rejected. Retries of it are rejected before they crash more servers, and
// later queries of the class send one part first.
func TestPoisonQueryIsQuarantined(t *testing.T) {
	r := newRunner(t, settings(), servers(12)...)
	r.answerQueries(60, 0.05)
	id, ev := r.query(0, 6)
	out := sends(r.handle(ev...))
	if len(out) != 6 {
		t.Fatalf("%d parts sent, want 6", len(out))
	}
	var resets []decision.Event
	for _, send := range out {
		resets = append(resets, finished(send.ID, 0, send.Server, decision.Reset, 0.02))
	}
	actions := r.handleAt(r.now+0.02, resets...)
	if got := finalAnswers(actions); len(got) != 1 || got[0] != (decision.Reject{ID: id}) || len(sends(actions)) > 0 {
		t.Errorf("actions %v after all attempts were reset, want Reject and no Send", actions)
	}
	id, ev = r.query(0, 6)
	actions = r.handleAt(r.now+0.1, ev...)
	if got := finalAnswers(actions); len(got) != 1 || got[0] != (decision.Reject{ID: id}) || len(sends(actions)) > 0 {
		t.Errorf("actions %v for the retried query, want Reject and no Send", actions)
	}
	_, ev = r.query(0, 5)
	first := sends(r.handleAt(r.now+0.1, ev...))
	if len(first) != 1 {
		t.Fatalf("%d parts sent first, want 1", len(first))
	}
	rest := sends(r.handleAt(r.now+0.05, finished(first[0].ID, 0, first[0].Server, decision.OK, 0.05)))
	if len(rest) != 4 {
		t.Errorf("%d parts sent after the first was answered, want 4", len(rest))
	}
	_, ev = r.query(0, 5)
	if n := len(sends(r.handleAt(r.now+0.1, ev...))); n != 1 {
		t.Fatalf("%d parts sent first, want 1", n)
	}
	if n := len(sends(r.handleAt(r.now + 0.35))); n != 4 {
		t.Errorf("%d parts sent after the first was late, want 4", n)
	}
}

// If half of the servers reset connections before they execute anything, the servers are at fault and not the query.
func TestResetsOfSomeAttemptsDoNotQuarantineQuery(t *testing.T) {
	cfg := settings()
	cfg.MaxAttempts = 6
	r := newRunner(t, cfg, servers(12)...)
	r.answerQueries(60, 0.05)
	_, ev := r.query(0, 6)
	out := sends(r.handle(ev...))
	var events []decision.Event
	for i, send := range out {
		if i < 3 {
			events = append(events, finished(send.ID, 0, send.Server, decision.Reset, 0.002))
		}
	}
	actions := r.handleAt(r.now+0.005, events...)
	if got := finalAnswers(actions); len(got) > 0 {
		t.Fatalf("final answers %v after three of six attempts were reset, want none", got)
	}
	retries := len(sends(actions))
	events = nil
	for _, send := range out[3:] {
		events = append(events, finished(send.ID, 0, send.Server, decision.OK, 0.05))
	}
	if retries += len(sends(r.handleAt(r.now+0.05, events...))); retries != 3 {
		t.Errorf("%d parts retried after the others were answered, want 3", retries)
	}
}
