package flight

import (
	"mothrouter/internal/broker"
)

// ProtocolSelector is a link that uses Flight for the servers that speak it and Frames for all others.
type ProtocolSelector struct {
	Frames, Flight broker.Link
	FlightServers  map[string]bool // ids of servers that speak Flight
}

// linkTo returns the link that speaks the server's protocol.
func (s *ProtocolSelector) linkTo(server *broker.Server) broker.Link {
	if s.FlightServers[server.ID] {
		return s.Flight
	}
	return s.Frames
}

// Send starts a call.
func (s *ProtocolSelector) Send(c *broker.Call) { s.linkTo(c.Server).Send(c) }

// Cancel ends a call.
func (s *ProtocolSelector) Cancel(c *broker.Call) { s.linkTo(c.Server).Cancel(c) }

// CheckHealth starts a health check.
func (s *ProtocolSelector) CheckHealth(check *broker.HealthCheck) {
	s.linkTo(check.Server).CheckHealth(check)
}
