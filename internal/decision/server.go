package decision

import "mothrouter/internal/estimate/serverstats"

// server is what this broker knows of one record server.
type server struct {
	Server            // its entry on the endpoint list
	serverstats.Stats // what its attempts and load reports have shown
	slowStart

	number   int     // position in the order in which servers were first listed, from 1
	drawKey  float64 // exponential variate divided by weight, drawn in round keyRound; the least wins
	keyRound int     // value of Policy.drawRound for which drawKey is valid
	removed  bool    // the server is in endpoints.removed
}

// IsReady reports whether the endpoint list allows new attempts at the server.
func (s *server) IsReady() bool { return s.State == Ready }

// number returns the server's place in the order of the list.
func number(s *server) int { return s.number }
