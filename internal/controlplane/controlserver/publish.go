package controlserver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc/codes"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
	"mothrouter/internal/controlplane/revision"
)

const (
	// publishTimeout is the maximum duration of a publication, which consists of a read barrier and a proposal.
	publishTimeout = consensus.ReadTimeout + consensus.ProposalTimeout

	// leaderCheckInterval is the interval at which a control machine that waits for a forwarded publication checks for a
	// new leader.
	leaderCheckInterval = 200 * time.Millisecond

	// forwardedKey is the gRPC metadata key that marks a publication as forwarded, so that it is not forwarded again.
	forwardedKey = "mothrouter-forwarded"

	// Keys of rejections that do not concern a key in the document.
	keyDocument = "document"
	keyRequest  = "request"
	keyExpected = "expected"
)

// ValidateFunc validates a document and its changes from the newest revision's document, which is nil before the first
// revision. It returns a rejection with the invalid key, or nil.
type ValidateFunc func(document, newest []byte) *configpb.Refusal

// publisher handles publications. A control machine that is not the leader forwards a publication to the leader, so that
// an operator needs to reach only one control machine, in any region. A publication is forwarded at most once. Only the
// leader sets the publication time.
type publisher struct {
	self           uint64 // raft id
	replica        *replica
	validate       ValidateFunc
	forward        func(ctx context.Context, leader uint64, request *configpb.PublishRequest) (*configpb.PublishResponse, error)
	describeMember func(id uint64) string // returns name and address, for errors

	mu         sync.Mutex // guards the fields below
	stopping   bool
	inProgress int           // number of publications in progress
	drained    chan struct{} // closed when stopping and no publication is in progress
}

func newPublisher(self uint64, replica *replica, validate ValidateFunc) *publisher {
	return &publisher{self: self, replica: replica, validate: validate, drained: make(chan struct{})}
}

// publish publishes a document and returns when it is committed or rejected, or on timeout. Its errors are gRPC statuses.
func (p *publisher) publish(ctx context.Context, request *configpb.PublishRequest) (*configpb.PublishResponse, error) {
	if !p.begin() {
		return nil, notAppendedError("%v", errStopping)
	}
	defer p.finish()
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if rejection := checkRequest(request); rejection != nil {
		return nil, rejectionError(codes.InvalidArgument, rejection)
	}
	leader, err := p.leader(ctx)
	if err != nil {
		return nil, notAppendedError("%v", err)
	}
	if leader != p.self {
		return p.forwardToLeader(ctx, leader, request)
	}
	if err := p.replica.barrier(ctx); err != nil {
		return nil, notAppendedError("no confirmation by a quorum: %v", err)
	}
	outcome, err := p.propose(ctx, request)
	var notLeader *consensus.NotLeaderError
	if errors.As(err, &notLeader) {
		return p.forwardToLeader(ctx, notLeader.Leader, request)
	}
	if err != nil {
		return nil, err
	}
	return outcomeResponse(outcome)
}

// checkRequest returns the rejection of a malformed request, or nil.
func checkRequest(request *configpb.PublishRequest) *configpb.Refusal {
	switch size := len(request.GetDocument()); {
	case request.GetRequest() == 0:
		return &configpb.Refusal{Key: keyRequest, Reason: "is missing or 0"}
	case size == 0:
		return &configpb.Refusal{Key: keyDocument, Reason: "is empty"}
	case size > revision.MaxDocumentBytes:
		return &configpb.Refusal{Key: keyDocument, Reason: fmt.Sprintf("has %d bytes, of at most %d", size,
			revision.MaxDocumentBytes)}
	}
	return nil
}

// propose validates a document, appends it to the log and waits for its outcome. Its error is a NotLeaderError or a gRPC
// status.
func (p *publisher) propose(ctx context.Context, request *configpb.PublishRequest) (consensus.ProposalOutcome, error) {
	newest, err := p.newest(ctx)
	if err != nil {
		return consensus.ProposalOutcome{}, notAppendedError("%v", err)
	}
	if rejection := p.validate(request.GetDocument(), newest.GetDocument()); rejection != nil {
		return consensus.ProposalOutcome{}, rejectionError(codes.InvalidArgument, rejection)
	}
	result := make(chan consensus.ProposalOutcome, 1)
	var proposeErr error
	err = p.replica.runOnLoop(ctx, func() { proposeErr = p.appendToLog(request, newest, result) })
	if err != nil {
		return consensus.ProposalOutcome{}, outcomeUnknownError(err)
	}
	if proposeErr != nil {
		return consensus.ProposalOutcome{}, statusOfProposeError(proposeErr)
	}
	select {
	case outcome := <-result:
		return outcome, nil
	case <-ctx.Done():
		return consensus.ProposalOutcome{}, outcomeUnknownError(ctx.Err())
	case <-p.replica.runDone:
		return consensus.ProposalOutcome{}, outcomeUnknownError(errStopping)
	}
}

// leader returns the raft id of the leader; 0: unknown.
func (p *publisher) leader(ctx context.Context) (uint64, error) {
	return callOnLoop(ctx, p.replica, func() uint64 { return p.replica.node.Leader() })
}

// newest returns the newest applied revision, or nil before the first.
func (p *publisher) newest(ctx context.Context) (*configpb.Revision, error) {
	return callOnLoop(ctx, p.replica, func() *configpb.Revision { return p.replica.node.Machine().Newest() })
}

// appendToLog proposes a document and registers the channel that receives its outcome. The document was validated against
// the revision validatedAgainst, nil for none. It runs on the replica's goroutine.
func (p *publisher) appendToLog(request *configpb.PublishRequest, validatedAgainst *configpb.Revision,
	result chan<- consensus.ProposalOutcome) error {
	r := p.replica
	newest := r.node.Machine().Number()
	if validatedAgainst == nil && newest != 0 { // the first revision was applied after the validation
		return errFirstRevisionPending
	}
	checksum := configpb.Checksum(request.GetDocument())
	if err := r.publications.checkAdmission(request.GetRequest(), checksum, newest); err != nil {
		return err
	}
	err := r.node.Propose(&configpb.Command{
		Request:         request.GetRequest(),
		Expected:        request.GetExpected(),
		Document:        request.GetDocument(),
		PublishedUnixMs: time.Now().UnixMilli(),
	})
	if err == nil {
		r.publications.add(request.GetRequest(), checksum, result)
	}
	return err
}

// begin counts a publication as in progress. It returns false if this control machine is stopping.
func (p *publisher) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopping {
		p.inProgress++
	}
	return !p.stopping
}

// finish ends a publication for which begin returned true.
func (p *publisher) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress--; p.stopping && p.inProgress == 0 {
		close(p.drained)
	}
}

// drain rejects further publications. The returned channel is closed when no publication is in progress.
func (p *publisher) drain() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopping && p.inProgress == 0 {
		close(p.drained)
	}
	p.stopping = true
	return p.drained
}
