package decision_test

import (
	"testing"

	"mothrouter/internal/decision"
)

// A query whose attempts all crash their servers is rejected, its client's retries are rejected before they cost a server,
// and the next query of the class sends one part first.
func TestPoisonQueryIsQuarantined(t *testing.T) {
	r := newRunner(t, settings(), servers(12)...)
	r.answerQueries(60, 0.05)
	id, ev := r.query(0, 6)
	out := sends(r.handle(ev...))
	if len(out) != 6 {
		t.Fatalf("%d parts sent, want 6", len(out))
	}
	var resets []decision.Event
	for _, snd := range out {
		resets = append(resets, finished(snd.ID, 0, snd.Server, decision.Reset, 0.02))
	}
	actions := r.handleAt(r.now+0.02, resets...)
	if got := finalAnswers(actions); len(got) != 1 || got[0] != (decision.Reject{ID: id}) || len(sends(actions)) > 0 {
		t.Errorf("all parts broke their servers: %v, want a rejection and no further send", actions)
	}
	id, ev = r.query(0, 6)
	actions = r.handleAt(r.now+0.1, ev...)
	if got := finalAnswers(actions); len(got) != 1 || got[0] != (decision.Reject{ID: id}) || len(sends(actions)) > 0 {
		t.Errorf("its repeat: %v, want a rejection and no send", actions)
	}
	_, ev = r.query(0, 5)
	ahead := sends(r.handleAt(r.now+0.1, ev...))
	if len(ahead) != 1 {
		t.Fatalf("%d parts sent ahead, want 1", len(ahead))
	}
	rest := sends(r.handleAt(r.now+0.05, finished(ahead[0].ID, 0, ahead[0].Server, decision.OK, 0.05)))
	if len(rest) != 4 {
		t.Errorf("%d parts sent after the first was answered, want 4", len(rest))
	}
	_, ev = r.query(0, 5)
	if n := len(sends(r.handleAt(r.now+0.1, ev...))); n != 1 {
		t.Fatalf("%d parts sent ahead, want 1", n)
	}
	if n := len(sends(r.handleAt(r.now + 0.35))); n != 4 {
		t.Errorf("%d parts sent once the first took too long, want 4", n)
	}
}

// Half of the servers reset connections before any work: that says something of the servers, not of the query.
func TestResetsAloneDoNotQuarantineAQuery(t *testing.T) {
	s := settings()
	s.MaxAttempts = 6
	r := newRunner(t, s, servers(12)...)
	r.answerQueries(60, 0.05)
	_, ev := r.query(0, 6)
	out := sends(r.handle(ev...))
	var events []decision.Event
	for i, snd := range out {
		if i < 3 {
			events = append(events, finished(snd.ID, 0, snd.Server, decision.Reset, 0.002))
		}
	}
	actions := r.handleAt(r.now+0.005, events...)
	if got := finalAnswers(actions); len(got) > 0 {
		t.Fatalf("three of six parts broken off, three still out: %v, want no final answer", got)
	}
	again := len(sends(actions))
	events = nil
	for _, snd := range out[3:] {
		events = append(events, finished(snd.ID, 0, snd.Server, decision.OK, 0.05))
	}
	if again += len(sends(r.handleAt(r.now+0.05, events...))); again != 3 {
		t.Errorf("%d parts sent again once the others were answered, want 3", again)
	}
}
