package controlserver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
	"mothrouter/internal/controlplane/revision"
)

const (
	// publishTimeout bounds a publication with all that it waits for.
	publishTimeout = consensus.ReadTimeout + consensus.ProposalTimeout

	// leaderCheckInterval is how often a machine that has sent a publication on looks whether the leader still leads.
	leaderCheckInterval = 200 * time.Millisecond

	// forwardedKey marks a publication that another control machine has sent on: it is not sent on again.
	forwardedKey = "mothrouter-forwarded"

	// Keys of refusals that name no part of the document.
	keyDocument = "document"
	keyRequest  = "request"
	keyExpected = "expected"
)

// errLeaderChanged is why a publication that was sent on to a leader is given up.
var errLeaderChanged = errors.New("its leader was lost on the way")

// Validate checks a document whole and compares it with the newest revision's, nil before the first. It returns why it
// is refused, by the key at fault, or nil.
type Validate func(document, newest []byte) *configpb.Refusal

// publisher takes publications. One that comes to a machine which does not lead is sent on to the leader, once: so an
// operator needs no more than one machine that is reached, in whichever region, and the leader alone stamps the time.
type publisher struct {
	self           uint64
	replica        *replica
	validate       Validate
	forward        func(ctx context.Context, leader uint64, request *configpb.PublishRequest) (*configpb.PublishResponse, error)
	describeMember func(id uint64) string // a member, for errors

	mu         sync.Mutex // guards what follows
	stopping   bool
	inProgress int           // publications under way
	drained    chan struct{} // closed once stopping and none is under way
}

func newPublisher(self uint64, replica *replica, validate Validate) *publisher {
	return &publisher{self: self, replica: replica, validate: validate, drained: make(chan struct{})}
}

// publish answers a publication once it is committed, refused, or given up.
func (p *publisher) publish(ctx context.Context, request *configpb.PublishRequest) (*configpb.PublishResponse, error) {
	if !p.begin() {
		return nil, notAppendedError("%v", errStopping)
	}
	defer p.finish()
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if refusal := checkRequest(request); refusal != nil {
		return nil, rejectionError(codes.InvalidArgument, refusal)
	}
	leader, err := p.leader(ctx)
	if err != nil {
		return nil, notAppendedError("%v", err)
	}
	if leader != p.self {
		return p.forwardToLeader(ctx, leader, request)
	}
	if err := p.replica.barrier(ctx); err != nil {
		return nil, notAppendedError("no quorum has answered: %v", err)
	}
	outcome, err := p.propose(ctx, request)
	var elsewhere *consensus.NotLeaderError
	if errors.As(err, &elsewhere) {
		return p.forwardToLeader(ctx, elsewhere.Leader, request)
	}
	if err != nil {
		return nil, err
	}
	return responseOf(outcome)
}

// checkRequest checks what needs no log.
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

// propose validates a document, appends it to the log and waits for its outcome. The error is a NotLeaderError or a
// status.
func (p *publisher) propose(ctx context.Context, request *configpb.PublishRequest) (consensus.ProposalOutcome, error) {
	newest, err := p.newest(ctx)
	if err != nil {
		return consensus.ProposalOutcome{}, notAppendedError("%v", err)
	}
	if refusal := p.validate(request.GetDocument(), newest.GetDocument()); refusal != nil {
		return consensus.ProposalOutcome{}, rejectionError(codes.InvalidArgument, refusal)
	}
	waiting := make(chan consensus.ProposalOutcome, 1)
	var proposed error
	err = p.replica.runOnLoop(ctx, func() { proposed = p.appendToLog(request, newest, waiting) })
	if err != nil {
		return consensus.ProposalOutcome{}, outcomeUnknownError(err)
	}
	if proposed != nil {
		return consensus.ProposalOutcome{}, statusOfProposeError(proposed)
	}
	select {
	case outcome := <-waiting:
		return outcome, nil
	case <-ctx.Done():
		return consensus.ProposalOutcome{}, outcomeUnknownError(ctx.Err())
	case <-p.replica.ended:
		return consensus.ProposalOutcome{}, outcomeUnknownError(errStopping)
	}
}

// leader returns the id of the leader, 0 where none is known.
func (p *publisher) leader(ctx context.Context) (uint64, error) {
	found := make(chan uint64, 1)
	if err := p.replica.runOnLoop(ctx, func() { found <- p.replica.node.Leader() }); err != nil {
		return 0, err
	}
	return <-found, nil
}

// newest returns the newest applied revision, nil before the first.
func (p *publisher) newest(ctx context.Context) (*configpb.Revision, error) {
	found := make(chan *configpb.Revision, 1)
	if err := p.replica.runOnLoop(ctx, func() { found <- p.replica.node.Machine().Newest() }); err != nil {
		return nil, err
	}
	return <-found, nil
}

// appendToLog runs on the replica's goroutine.
func (p *publisher) appendToLog(request *configpb.PublishRequest, validated *configpb.Revision,
	waiting chan<- consensus.ProposalOutcome) error {
	r := p.replica
	newest := r.node.Machine().Number()
	if validated == nil && newest != 0 { // compared with nothing, and now there is something
		return errFirstRevisionPending
	}
	checksum := configpb.Checksum(request.GetDocument())
	if err := r.publications.check(request.GetRequest(), checksum, newest); err != nil {
		return err
	}
	err := r.node.Propose(&configpb.Command{
		Request: request.GetRequest(), Expected: request.GetExpected(), Document: request.GetDocument(),
		PublishedUnixMs: time.Now().UnixMilli(),
	})
	if err == nil {
		r.publications.add(request.GetRequest(), checksum, waiting)
	}
	return err
}

// statusOfProposeError is the answer to a publication that was not appended.
func statusOfProposeError(err error) error {
	var elsewhere *consensus.NotLeaderError
	switch {
	case errors.As(err, &elsewhere):
		return err
	case errors.Is(err, errRequestReused):
		return rejectionError(codes.InvalidArgument, &configpb.Refusal{Key: keyRequest, Reason: err.Error()})
	case errors.Is(err, revision.ErrCommand):
		return rejectionError(codes.InvalidArgument, &configpb.Refusal{Key: keyDocument, Reason: err.Error()})
	}
	return notAppendedError("%v", err)
}

// responseOf is what a publisher is told of an outcome.
func responseOf(outcome consensus.ProposalOutcome) (*configpb.PublishResponse, error) {
	if outcome.Err != nil {
		return nil, outcomeUnknownError(outcome.Err)
	}
	switch result := outcome.Result; result.Rejection {
	case revision.Accepted:
		return &configpb.PublishResponse{Number: result.Number}, nil
	case revision.NotNewest:
		return nil, rejectionError(codes.FailedPrecondition, &configpb.Refusal{Number: result.Number, Key: keyExpected,
			Reason: fmt.Sprintf("the newest revision is %d", result.Number)})
	case revision.RequestReused:
		return nil, rejectionError(codes.InvalidArgument, &configpb.Refusal{Key: keyRequest, Reason: result.Rejection.String()})
	default:
		return nil, rejectionError(codes.InvalidArgument, &configpb.Refusal{Key: keyDocument, Reason: result.Rejection.String()})
	}
}

// forwardToLeader sends a publication to the leader.
func (p *publisher) forwardToLeader(ctx context.Context, leader uint64, request *configpb.PublishRequest) (
	*configpb.PublishResponse, error) {
	if leader == 0 {
		return nil, notAppendedError("no leader")
	}
	if sent, _ := metadata.FromIncomingContext(ctx); len(sent.Get(forwardedKey)) > 0 {
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

// waitForLeaderChange returns true once this machine no longer takes a member for the leader, or false once the context ends:
// a leader that is lost would let its publishers wait.
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

// forward sends a publication to the leader over the connection to it that is open.
func (t *transport) forward(ctx context.Context, leader uint64, request *configpb.PublishRequest) (
	*configpb.PublishResponse, error) {
	p := t.peers[leader]
	if p == nil || p.conn.GetState() != connectivity.Ready {
		return nil, notAppendedError("the leader is machine %d, which cannot be reached from here", leader)
	}
	ctx = metadata.NewOutgoingContext(ctx, metadata.Pairs(forwardedKey, fmt.Sprint(t.self)))
	return configpb.NewControlClient(p.conn).Publish(ctx, request, grpc.WaitForReady(false))
}

// begin books a publication. It returns false once this machine is stopping.
func (p *publisher) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopping {
		p.inProgress++
	}
	return !p.stopping
}

func (p *publisher) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress--; p.stopping && p.inProgress == 0 {
		close(p.drained)
	}
}

// drain takes no more publications. The channel is closed once none is under way.
func (p *publisher) drain() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopping && p.inProgress == 0 {
		close(p.drained)
	}
	p.stopping = true
	return p.drained
}

func notAppendedError(format string, arguments ...any) error {
	return withDetails(status.Newf(codes.Unavailable, format, arguments...),
		&errdetails.ErrorInfo{Reason: configpb.NotAppended, Domain: configpb.ErrorDomain})
}

func outcomeUnknownError(err error) error {
	return status.Errorf(codes.DeadlineExceeded, "the publication may be committed or not: %v", err)
}

func rejectionError(code codes.Code, refusal *configpb.Refusal) error {
	return withDetails(status.Newf(code, "%s: %s", refusal.GetKey(), refusal.GetReason()), refusal)
}

func withDetails(s *status.Status, details protoadapt.MessageV1) error {
	detailed, err := s.WithDetails(details)
	if err != nil {
		panic(fmt.Sprintf("controlserver: details that cannot be encoded: %v", err))
	}
	return detailed.Err()
}
