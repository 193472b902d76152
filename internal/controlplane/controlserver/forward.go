package controlserver

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/metadata"

	"mothrouter/internal/controlplane/configpb"
)

// errLeaderChanged is the error of a publication that was forwarded to a control machine that is no longer the leader.
var errLeaderChanged = errors.New("the leader changed after the publication was forwarded")

// forwardToLeader forwards a publication to the leader. It rejects one that another control machine has forwarded here, and
// stops waiting for the response when the leader changes.
func (p *publisher) forwardToLeader(ctx context.Context, leader uint64, request *configpb.PublishRequest) (
	*configpb.PublishResponse, error) {
	if leader == 0 {
		return nil, notAppendedError("no leader")
	}
	if incoming, _ := metadata.FromIncomingContext(ctx); len(incoming.Get(forwardedKey)) > 0 {
		return nil, notAppendedError("the leader is %s", p.describeMember(leader))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var changed atomic.Bool
	go func() {
		changed.Store(p.waitForLeaderChange(ctx, leader))
		cancel()
	}()
	response, err := p.forward(ctx, leader, request)
	if err != nil && changed.Load() {
		return nil, outcomeUnknownError(errLeaderChanged)
	}
	return response, err
}

// waitForLeaderChange waits until the leader differs from the given one, or the context ends, and reports whether the
// leader has changed. Without this check a publication forwarded to a failed leader would wait for publishTimeout.
func (p *publisher) waitForLeaderChange(ctx context.Context, leader uint64) bool {
	for {
		select {
		case <-time.After(leaderCheckInterval):
		case <-ctx.Done():
			return false
		}
		if now, err := p.leader(ctx); err != nil || now != leader {
			return err == nil
		}
	}
}

// forward sends a publication to the leader over the existing connection, and fails at once if it is not ready.
func (t *transport) forward(ctx context.Context, leader uint64, request *configpb.PublishRequest) (
	*configpb.PublishResponse, error) {
	p := t.peers[leader]
	if p == nil || p.conn.GetState() != connectivity.Ready {
		return nil, notAppendedError("the leader is machine %d, which cannot be reached from here", leader)
	}
	ctx = metadata.NewOutgoingContext(ctx, metadata.Pairs(forwardedKey, fmt.Sprint(t.self)))
	return configpb.NewControlClient(p.conn).Publish(ctx, request, grpc.WaitForReady(false))
}
