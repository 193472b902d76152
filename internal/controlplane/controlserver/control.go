package controlserver

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/confighub"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
)

// replicaTimeout is how long Status and Get wait for the replica.
const replicaTimeout = 2 * time.Second

// service is the Control service of one control machine.
type service struct {
	configpb.UnimplementedControlServer
	*publisher
	self      Member
	members   []Member
	replica   *replica
	hub       *confighub.Hub
	reachable func(now time.Time, id uint64) bool
}

// Follow serves a broker: see confighub.Hub.Follow.
func (s *service) Follow(stream grpc.BidiStreamingServer[configpb.Report, configpb.Update]) error {
	return s.hub.Follow(stream)
}

// Publish appends a revision: see publisher.
func (s *service) Publish(ctx context.Context, request *configpb.PublishRequest) (*configpb.PublishResponse, error) {
	return s.publish(ctx, request)
}

// Get returns a revision that this machine has applied. Errors: NOT_FOUND.
func (s *service) Get(ctx context.Context, request *configpb.GetRequest) (*configpb.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	found := make(chan *configpb.Revision, 1)
	err := s.replica.runOnLoop(ctx, func() { found <- s.replica.node.Machine().Get(request.GetNumber()) })
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	revision := <-found
	if revision == nil {
		return nil, status.Errorf(codes.NotFound, "%s does not have revision %d, or no longer", s.self.Name,
			request.GetNumber())
	}
	return revision, nil
}

// Status tells what this machine knows.
func (s *service) Status(ctx context.Context, _ *configpb.StatusRequest) (*configpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	found := make(chan consensus.Status, 1)
	err := s.replica.runOnLoop(ctx, func() { found <- s.replica.node.Status(time.Now()) })
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	log, brokers := <-found, s.hub.Status()
	response := &configpb.StatusResponse{
		Name: s.self.Name, Newest: brokers.Newest, ConfirmedMs: brokers.ConfirmedMS,
		Brokers: brokers.Brokers, InForce: brokers.InForce,
	}
	now := time.Now()
	for _, m := range log.Members {
		member := s.member(m.ID)
		if m.ID == log.Leader {
			response.Leader = member.Name
		}
		response.Members = append(response.Members, &configpb.Member{
			Name: member.Name, Address: member.Address, Voter: m.Voter,
			Reachable: m.ID == s.self.ID || s.reachable(now, m.ID),
		})
	}
	return response, nil
}

// member returns a member by its id in the log.
func (s *service) member(id uint64) Member { return findMember(s.members, id) }

func findMember(members []Member, id uint64) Member {
	for _, m := range members {
		if m.ID == id {
			return m
		}
	}
	panic("controlserver: the log has a member that the options lack") // consensus refuses such a log
}
