package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/billing"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/limit"
	"github.com/violettally/violettally/member"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/rollout"
)

// maxMessageBytes is the largest size of a message between nodes. The largest are
// pages of a transfer: 256 claims, those of asynchronous requests with the request.
const maxMessageBytes = 64 << 20

// Node handles the calls of peers.
type Node interface {
	Probe(h member.Heartbeat) member.Heartbeat
	NewerDocuments(known map[string]int64) map[string]document.Item
	RecordRevisions(address string, revisions map[string]int64)
	Grant(r limit.LeaseRequest) limit.Grant
	Counts() (node string, counts rollout.Counts)
	JournalRecords(journal string) billing.JournalRecords
	StoreCheckpoint(s ledger.Snapshot)
	FindResponse(attempt string) (x *answer.Response, ran bool)
	CancelAttempt(attempt string) bool
	Explain(requestID string) (decision.Summary, bool)
	Carry(ctx context.Context, server, opener string) (net.Conn, error)
	ObserveNotice(r notice.Report)
	AskPlace(a rejection.Ask) rejection.Grant
}

// Server serves the calls of other nodes.
type Server struct {
	node     Node
	replica  *claim.Replica
	client   *Client
	handlers map[string]func(drpc.Stream) error
	// messageMemory bounds messages that are not whole, in bytes, and newConns the connections without a message.
	messageMemory int64
	newConns      int
}

// applyOptions sets the defaults and then the options.
func (s *Server) applyOptions(options []ServerOption) *Server {
	s.messageMemory, s.newConns = defaultMessageMemory, defaultNewConns
	for _, option := range options {
		option(s)
	}
	return s
}

// NewServer returns a server for a node and its claim replica. The client is used
// to probe on behalf of other nodes.
func NewServer(node Node, replica *claim.Replica, client *Client, options ...ServerOption) *Server {
	s := &Server{node: node, replica: replica, client: client}
	s.handlers = map[string]func(drpc.Stream) error{
		callProbe:    unaryHandler(func(_ context.Context, h member.Heartbeat) (member.Heartbeat, error) { return node.Probe(h), nil }),
		callProbeVia: unaryHandler(s.probeVia),
		callFetch: unaryHandler(func(_ context.Context, r fetchRequest) (fetchReply, error) {
			return fetchReply{Items: node.NewerDocuments(r.Known)}, nil
		}),
		callNotify: unaryHandler(func(_ context.Context, r notifyRequest) (empty, error) {
			node.RecordRevisions(r.From, r.Revisions)
			return empty{}, nil
		}),
		callClaim:  unaryHandler(func(_ context.Context, r claim.Request) (claim.Reply, error) { return replica.Claim(r), nil }),
		callLookup: unaryHandler(func(_ context.Context, r claim.Request) (claim.Reply, error) { return replica.Lookup(r), nil }),
		callAdvance: unaryHandler(func(_ context.Context, e claim.Entry) (empty, error) {
			replica.Advance(e)
			return empty{}, nil
		}),
		callRelease: unaryHandler(func(_ context.Context, r releaseRequest) (empty, error) {
			replica.Release(r.Key, r.Token, r.UpTo)
			return empty{}, nil
		}),
		callTransfer: unaryHandler(func(_ context.Context, r claim.TransferRequest) (claim.TransferReply, error) {
			return replica.Transfer(r), nil
		}),
		callLimit:  unaryHandler(func(_ context.Context, r limit.LeaseRequest) (limit.Grant, error) { return node.Grant(r), nil }),
		callCounts: countsHandler(node.Counts),
		callJournalRecords: unaryHandler(func(_ context.Context, r journalRecordsRequest) (billing.JournalRecords, error) {
			return node.JournalRecords(r.Journal), nil
		}),
		callCheckpoint: unaryHandler(func(_ context.Context, s ledger.Snapshot) (empty, error) {
			node.StoreCheckpoint(s)
			return empty{}, nil
		}),
		callCancel: unaryHandler(func(_ context.Context, r attemptRequest) (cancelReply, error) {
			if err := s.checkHolder(r); err != nil {
				return cancelReply{}, err
			}
			return cancelReply{Stopped: node.CancelAttempt(r.Attempt)}, nil
		}),
		callExplain: unaryHandler(func(_ context.Context, r explainRequest) (decision.Summary, error) {
			summary, _ := node.Explain(r.RequestID)
			return summary, nil
		}),
		callAttach: s.attach,
		callTunnel: tunnelHandler(node.Carry),
		callNotice: noticeHandler(node.ObserveNotice),
		callPlace:  placeHandler(node.AskPlace),
	}
	return s.applyOptions(options)
}

// unaryHandler returns the handler of a call with one request and one reply.
func unaryHandler[Request, Reply any](reply func(context.Context, Request) (Reply, error)) func(drpc.Stream) error {
	return func(stream drpc.Stream) error {
		var in Request
		if err := stream.MsgRecv(&in, codec{}); err != nil {
			return err
		}
		out, err := reply(stream.Context(), in)
		if err != nil {
			return err
		}
		return stream.MsgSend(&out, codec{})
	}
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	call := s.handlers[rpc]
	if call == nil {
		return errs.New(Unknown, "serve", "no call %q", rpc)
	}
	return call(stream)
}

// Serve serves calls on a listener until the context ends. A nil config means
// plain TCP.
func (s *Server) Serve(ctx context.Context, listener net.Listener, config *tls.Config) error {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}},
		Log:     func(err error) { slog.Debug("peer call failed", "error", err) },
	})
	err := server.Serve(ctx, &guard{Listener: listener, maxMemory: s.messageMemory, maxNew: s.newConns})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Server) probeVia(ctx context.Context, r probeViaRequest) (empty, error) {
	return empty{}, s.client.checkReachable(ctx, r.Target)
}

func (s *Server) checkHolder(r attemptRequest) error {
	if r.Holder != s.client.self {
		return errs.New(Unknown, "serve", "this is %s, not %s", s.client.self, r.Holder)
	}
	return nil
}

// attach streams a response to another node as its parts arrive.
func (s *Server) attach(stream drpc.Stream) error {
	var in attemptRequest
	if err := stream.MsgRecv(&in, codec{}); err != nil {
		return err
	}
	if err := s.checkHolder(in); err != nil {
		return err
	}
	x, ran := s.node.FindResponse(in.Attempt)
	if x == nil {
		return stream.MsgSend(&attachMessage{Ran: ran}, codec{})
	}
	defer x.AddReader()()
	for sent := 0; ; {
		state := x.StateFrom(sent)
		sent += len(state.Parts)
		message := attachMessage{Found: true, HasHead: state.HasHead, Head: state.Head, Parts: state.Parts, Done: state.Done, Failure: state.Failure}
		if err := stream.MsgSend(&message, codec{}); err != nil {
			return err
		}
		if state.Done {
			return nil
		}
		select {
		case <-state.Changed:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}
