package controlserver

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/confighub"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
)

// replicaTimeout limits how long Status and Get wait for the replica's goroutine. One sync of the raft log takes far less.
const replicaTimeout = 2 * time.Second

// service implements the Control service of a control machine.
type service struct {
	configpb.UnimplementedControlServer
	*publisher
	self      Member
	members   []Member // all members, including self
	replica   *replica
	hub       *confighub.Hub
	reachable func(now time.Time, id uint64) bool // of a peer, by raft id
}

// Follow streams revisions to a broker: see confighub.Hub.Follow.
func (s *service) Follow(stream grpc.BidiStreamingServer[configpb.Report, configpb.Update]) error {
	return s.hub.Follow(stream)
}

// Publish appends a revision to the raft log: see publisher.
func (s *service) Publish(ctx context.Context, request *configpb.PublishRequest) (*configpb.PublishResponse, error) {
	return s.publish(ctx, request)
}

// Get returns a revision that this control machine has applied. Number 0 means the newest one. Its errors are NOT_FOUND
// and UNAVAILABLE.
func (s *service) Get(ctx context.Context, request *configpb.GetRequest) (*configpb.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	revision, err := callOnLoop(ctx, s.replica, func() *configpb.Revision {
		return s.replica.node.Machine().Get(request.GetNumber())
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if revision == nil {
		return nil, status.Errorf(codes.NotFound, "%s does not have revision %d, or no longer", s.self.Name,
			request.GetNumber())
	}
	return revision, nil
}

// Status returns the status of the raft log, the brokers and the revisions as known to this control machine. Its error is
// UNAVAILABLE.
func (s *service) Status(ctx context.Context, _ *configpb.StatusRequest) (*configpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	logStatus, err := callOnLoop(ctx, s.replica, func() consensus.Status { return s.replica.node.Status(time.Now()) })
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	hubStatus := s.hub.Status()
	response := &configpb.StatusResponse{
		Name:        s.self.Name,
		Newest:      hubStatus.Newest,
		ConfirmedMs: hubStatus.ConfirmedMS,
		Brokers:     hubStatus.Brokers,
		InForce:     hubStatus.InForce,
	}
	now := time.Now()
	for _, memberStatus := range logStatus.Members {
		member := s.member(memberStatus.ID)
		if member.ID == logStatus.Leader {
			response.Leader = member.Name
		}
		response.Members = append(response.Members, &configpb.Member{
			Name:      member.Name,
			Address:   member.Address,
			Voter:     memberStatus.Voter,
			Reachable: member.ID == s.self.ID || s.reachable(now, member.ID),
		})
	}
	return response, nil
}

// member returns the member with a raft id.
func (s *service) member(id uint64) Member { return findMember(s.members, id) }

// findMember returns the member with a raft id. It panics if there is none; consensus.New rejects a log with such a member.
func findMember(members []Member, id uint64) Member {
	for _, m := range members {
		if m.ID == id {
			return m
		}
	}
	panic(fmt.Sprintf("controlserver: raft member %d is not in Options.Members", id))
}
