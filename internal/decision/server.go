package decision

import "mothrouter/internal/estimate/serverstats"

// server is the broker's state of one record server.
type server struct {
	Server            // entry on the endpoint list
	serverstats.Stats // statistics of its attempts and load reports
	slowStart

	ordinal          int     // position in the order in which servers were first listed, from 1
	drawKey          float64 // exponential variate divided by weight; the smallest key is drawn
	drawKeyRound     int     // value of Policy.drawRound for which drawKey is valid
	inRemovedServers bool    // the server is in endpoints.removedServers
}

// IsReady reports whether the endpoint list allows new attempts at the server.
func (s *server) IsReady() bool { return s.State == Ready }

// ordinal returns the position of a server in the order in which servers were first listed.
func ordinal(s *server) int { return s.ordinal }
