package peer

import (
	"context"
	"encoding/json"
	"net"
	"runtime/debug"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/member"
	"galenaridge/core/once"
	"galenaridge/core/ownership"
	"galenaridge/io/peer/peerpb"
)

// Control handles control messages.
type Control interface {
	View() *control.View
	HandleHeartbeat(ctx context.Context, message member.Heartbeat, age control.PlatformAge) (member.HeartbeatReply, control.PlatformAge, error)
	HandleSync(ctx context.Context, message member.SyncRequest) (member.SyncReply, error)
	HandleFence(ctx context.Context, message member.FenceRequest) (member.FenceReply, error)
	HandleClaim(ctx context.Context, message ownership.Claim) (ownership.ClaimReply, error)
	HandleReport(ctx context.Context, service fleet.ServiceName, report floor.Report) (floor.Reply, error)
}

// Traffic handles callers' requests that other instances forward.
type Traffic interface {
	Execute(ctx context.Context, request exchange.Request) exchange.Response
	// Submit executes a protected request. It returns false if this instance does
	// not hold the records of the token's home.
	Submit(ctx context.Context, token once.Token, request exchange.Request) (exchange.Response, bool)
	Mint(service fleet.ServiceName) (once.Token, error)
	// ImportRecords reports whether it stored the batch.
	ImportRecords(handover once.Handover) bool
}

// Prober probes servers from this instance.
type Prober interface {
	Reachable(ctx context.Context, server fleet.ListedServer) bool
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Control       Control
	Traffic       Traffic
	Prober        Prober
	Clock         fleet.Clock
	PanicReporter PanicReporter
}

// PanicReporter reports panics of message handlers. It may be called concurrently.
type PanicReporter interface {
	ReportPanic(method string, value any, stack []byte)
}

// Server handles calls of other instances.
type Server struct {
	peerpb.UnimplementedPeerServer
	options       ServerOptions
	grpc          *grpc.Server
	encodedConfig encodedConfig
}

// NewServer returns a server without a listener.
func NewServer(options ServerOptions) *Server {
	s := &Server{
		options: options,
		grpc: grpc.NewServer(
			grpc.MaxRecvMsgSize(maxMessageBytes),
			grpc.MaxSendMsgSize(maxMessageBytes),
			grpc.StaticStreamWindowSize(streamWindowBytes),
			grpc.StaticConnWindowSize(connWindowBytes),
			grpc.UnaryInterceptor(recoverPanics(options.PanicReporter)),
		),
	}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// recoverPanics turns a panic of a handler into an error reply, so that one message
// does not end the process with all its requests in flight.
func recoverPanics(reporter PanicReporter) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, in any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
		defer func() {
			if value := recover(); value != nil {
				reporter.ReportPanic(info.FullMethod, value, debug.Stack())
				err = status.Error(codes.Internal, "the handler panicked")
			}
		}()
		return handler(ctx, in)
	}
}

// Serve handles calls on the listener until Stop.
func (s *Server) Serve(listener net.Listener) error { return s.grpc.Serve(listener) }

// Stop refuses new calls and waits for the calls in flight. It interrupts them
// when the context ends.
func (s *Server) Stop(ctx context.Context) {
	cancel := context.AfterFunc(ctx, s.grpc.Stop)
	defer cancel()
	s.grpc.GracefulStop()
}

// Heartbeat implements peerpb.PeerServer.
func (s *Server) Heartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	gossip, peerAge := fromGossip(in.GetNews())
	message := member.Heartbeat{From: fromID(in.GetFrom()), WitnessSetVersion: member.WitnessSetVersion(in.GetPanel()), Gossip: gossip}
	reply, ownAge, err := s.options.Control.HandleHeartbeat(ctx, message, control.PlatformAge(peerAge))
	if err != nil {
		return nil, unavailable(err)
	}
	return &peerpb.HeartbeatReply{
		From:         toID(reply.From),
		Acknowledged: reply.Acknowledged,
		Fenced:       reply.Fenced,
		News:         toGossip(reply.Gossip, time.Duration(ownAge)),
	}, nil
}

// Sync implements peerpb.PeerServer.
func (s *Server) Sync(ctx context.Context, in *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	reply, err := s.options.Control.HandleSync(ctx, member.SyncRequest{
		From:    fromID(in.GetFrom()),
		Records: fromRecords(in.GetRecords()),
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return &peerpb.SyncReply{Records: toRecords(reply.Records)}, nil
}

// Fence implements peerpb.PeerServer.
func (s *Server) Fence(ctx context.Context, in *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	reply, err := s.options.Control.HandleFence(ctx, member.FenceRequest{
		From:              fromID(in.GetFrom()),
		Target:            fromID(in.GetTarget()),
		WitnessSetVersion: member.WitnessSetVersion(in.GetPanel()),
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return &peerpb.FenceReply{
		From:    toID(reply.From),
		Granted: reply.Granted,
		Record:  toRecord(reply.Record),
	}, nil
}

// Claim implements peerpb.PeerServer.
func (s *Server) Claim(ctx context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	reply, err := s.options.Control.HandleClaim(ctx, fromClaim(in))
	if err != nil {
		return nil, unavailable(err)
	}
	return toClaimReply(reply), nil
}

// Permit implements peerpb.PeerServer.
func (s *Server) Permit(ctx context.Context, in *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	reply, err := s.options.Control.HandleReport(ctx, fleet.ServiceName(in.GetService()), fromReport(in))
	if err != nil {
		return nil, unavailable(err)
	}
	return toFloorReply(reply), nil
}

// Probe implements peerpb.PeerServer.
func (s *Server) Probe(ctx context.Context, in *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	reachable := s.options.Prober.Reachable(ctx, fleet.ListedServer{
		ID:      fleet.ServerID(in.GetServer()),
		Service: fleet.ServiceName(in.GetService()),
		Address: fleet.Address(in.GetAddress()),
	})
	return &peerpb.ProbeReply{Reachable: reachable}, nil
}

// Fetch implements peerpb.PeerServer.
func (s *Server) Fetch(_ context.Context, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	view := s.options.Control.View()
	reply := &peerpb.FetchReply{Version: uint64(view.Config.Version()), Digest: string(view.Config.Digest())}
	if view.Config.Ready() && in.GetKnownVersion() < reply.GetVersion() {
		encoded, err := s.encodedConfig.encode(view.Config)
		if err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
		reply.Document = encoded
	}
	if in.GetKnownRevision() < uint64(view.Listing.Revision) {
		if err := addListing(reply, view, fleet.Revision(in.GetKnownRevision())); err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
	}
	return reply, nil
}

// addListing adds the changes of the listing since a revision to the reply, or
// the whole listing if the history does not reach back to that revision.
func addListing(reply *peerpb.FetchReply, view *control.View, known fleet.Revision) error {
	changes, found := view.History.Since(known)
	if found {
		encoded, err := json.Marshal(changes)
		reply.Changes = encoded
		return err
	}
	encoded, err := json.Marshal(view.Listing)
	reply.Listing = encoded
	return err
}

// Mint implements peerpb.PeerServer.
func (s *Server) Mint(_ context.Context, in *peerpb.MintRequest) (*peerpb.MintReply, error) {
	token, err := s.options.Traffic.Mint(fleet.ServiceName(in.GetService()))
	if err != nil {
		return nil, unavailable(err)
	}
	return &peerpb.MintReply{Token: string(token)}, nil
}

// Submit implements peerpb.PeerServer.
func (s *Server) Submit(ctx context.Context, in *peerpb.SubmitRequest) (*peerpb.ExecuteReply, error) {
	request := fromRequest(in.GetRequest(), s.deadline(ctx))
	response, held := s.options.Traffic.Submit(ctx, once.Token(in.GetToken()), request)
	if !held {
		response = exchange.Refuse(exchange.HomeLost, "this instance does not hold the records of the home")
	}
	return toResponse(response), nil
}

// Execute implements peerpb.PeerServer.
func (s *Server) Execute(ctx context.Context, in *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	return toResponse(s.options.Traffic.Execute(ctx, fromRequest(in, s.deadline(ctx)))), nil
}

// Handover implements peerpb.PeerServer.
func (s *Server) Handover(_ context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return &peerpb.HandoverReply{Accepted: s.options.Traffic.ImportRecords(fromHandover(in))}, nil
}

// defaultDeadline limits a request whose sender set no deadline.
const defaultDeadline = 5 * time.Second

// deadline returns the deadline of a call.
func (s *Server) deadline(ctx context.Context) time.Time {
	if deadline, set := ctx.Deadline(); set {
		return deadline
	}
	return s.options.Clock.Now().Add(defaultDeadline)
}

// unavailable returns a gRPC error that means that this instance cannot handle the
// call at present.
func unavailable(err error) error { return status.Error(codes.Unavailable, err.Error()) }
