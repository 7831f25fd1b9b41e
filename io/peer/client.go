package peer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"

	"galenaridge/core/config"
	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/listing"
	"galenaridge/core/member"
	"galenaridge/core/once"
	"galenaridge/core/ownership"
	"galenaridge/io/peer/peerpb"
)

const (
	// connectTimeout bounds the wait for a connection before a request is sent, so
	// that another owner can be tried before the request's deadline.
	connectTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection stays open. It keeps a fleet of
	// 400 instances from holding 400 open connections each.
	idleTimeout = time.Minute
	// streamWindowBytes and connWindowBytes are the HTTP/2 flow control windows.
	// They are static, because gRPC's dynamic windows send a ping with each
	// message, and the ping and its reply wake both sides once more.
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20
	// unusedTimeout is how long a connection is kept after the start of its last
	// call. Connections are removed because replaced instances get new addresses;
	// the timeout is far longer than any call, so that no call is interrupted.
	unusedTimeout = 5 * time.Minute
	// maxMessageBytes is the largest message that is sent or received. The
	// configuration allows bodies of up to 64 MiB.
	maxMessageBytes = 66 << 20
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Clock fleet.Clock
	// DialAddresses maps the addresses of instances to the addresses to dial instead.
	DialAddresses map[fleet.Address]fleet.Address
	// Meter counts control messages and their bytes; nil disables the count.
	Meter *Meter
}

// Client sends messages to other instances. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	mu      sync.Mutex
	conns   map[connKey]*cachedConn
}

// cachedConn is a connection with the time of its last use.
type cachedConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
}

// connKey identifies a connection. Control messages and callers' requests use
// separate connections, so that large bodies do not delay heartbeats.
type connKey struct {
	address     fleet.Address
	forRequests bool
}

// NewClient returns a client without connections.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, conns: map[connKey]*cachedConn{}}
}

// Close closes all connections and interrupts the calls in flight.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, cached := range c.conns {
		_ = cached.conn.Close()
		delete(c.conns, key)
	}
}

// closeUnused closes connections without a call during unusedTimeout. The caller
// holds the lock.
func (c *Client) closeUnused(now time.Time) {
	for key, cached := range c.conns {
		if now.Sub(cached.lastUsed) > unusedTimeout {
			_ = cached.conn.Close()
			delete(c.conns, key)
		}
	}
}

// connFor returns the connection of a key and creates it if there is none.
func (c *Client) connFor(key connKey) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	if cached, known := c.conns[key]; known {
		cached.lastUsed = now
		return cached.conn, nil
	}
	c.closeUnused(now)
	target := key.address
	if dialAddress, mapped := c.options.DialAddresses[target]; mapped {
		target = dialAddress
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithStaticStreamWindowSize(streamWindowBytes),
		grpc.WithStaticConnWindowSize(connWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
	}
	if !key.forRequests && c.options.Meter != nil {
		options = append(options, grpc.WithStatsHandler(c.options.Meter))
	}
	conn, err := grpc.NewClient("passthrough:///"+string(target), options...)
	if err != nil {
		return nil, wrap(err, "open a connection to a peer")
	}
	c.conns[key] = &cachedConn{conn: conn, lastUsed: now}
	return conn, nil
}

// controlClient returns a client for control messages. The connection may still
// be closed; the first call opens it.
func (c *Client) controlClient(address fleet.Address) (peerpb.PeerClient, error) {
	conn, err := c.connFor(connKey{address: address})
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// requestClient returns a client for callers' requests whose connection is
// ready, or false if the connection fails or is not ready within connectTimeout.
// In that case nothing was sent.
func (c *Client) requestClient(ctx context.Context, address fleet.Address) (peerpb.PeerClient, bool) {
	conn, err := c.connFor(connKey{address: address, forRequests: true})
	if err != nil {
		return nil, false
	}
	if conn.GetState() == connectivity.Ready {
		// A connection is normally ready already; this case needs no timer.
		return peerpb.NewPeerClient(conn), true
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return peerpb.NewPeerClient(conn), true
		}
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return nil, false
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return nil, false
		}
	}
}

// Heartbeat implements control.Peers.
func (c *Client) Heartbeat(ctx context.Context, out member.OutgoingHeartbeat, age control.PlatformAge) (member.HeartbeatReply, control.PlatformAge, error) {
	client, err := c.controlClient(out.To.Address)
	if err != nil {
		return member.HeartbeatReply{}, 0, err
	}
	reply, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{
		From:  toID(out.Message.From),
		Panel: uint64(out.Message.WitnessSetVersion),
		News:  toGossip(out.Message.Gossip, time.Duration(age)),
	})
	if err != nil {
		return member.HeartbeatReply{}, 0, wrap(err, "send a heartbeat")
	}
	gossip, peerAge := fromGossip(reply.GetNews())
	return member.HeartbeatReply{
		From:         fromID(reply.GetFrom()),
		Acknowledged: reply.GetAcknowledged(),
		Fenced:       reply.GetFenced(),
		Gossip:       gossip,
	}, control.PlatformAge(peerAge), nil
}

// Sync implements control.Peers.
func (c *Client) Sync(ctx context.Context, out member.OutgoingSync) (member.SyncReply, error) {
	client, err := c.controlClient(out.To.Address)
	if err != nil {
		return member.SyncReply{}, err
	}
	reply, err := client.Sync(ctx, &peerpb.SyncRequest{
		From:    toID(out.Message.From),
		Records: toRecords(out.Message.Records),
	}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return member.SyncReply{}, wrap(err, "exchange member records")
	}
	return member.SyncReply{Records: fromRecords(reply.GetRecords())}, nil
}

// Fence implements control.Peers.
func (c *Client) Fence(ctx context.Context, out member.OutgoingFenceRequest) (member.FenceReply, error) {
	client, err := c.controlClient(out.To.Address)
	if err != nil {
		return member.FenceReply{}, err
	}
	reply, err := client.Fence(ctx, &peerpb.FenceRequest{
		From:   toID(out.Message.From),
		Target: toID(out.Message.Target),
		Panel:  uint64(out.Message.WitnessSetVersion),
	})
	if err != nil {
		return member.FenceReply{}, wrap(err, "request a fence vote")
	}
	return member.FenceReply{
		From:    fromID(reply.GetFrom()),
		Granted: reply.GetGranted(),
		Record:  fromRecord(reply.GetRecord()),
	}, nil
}

// Claim implements control.Peers.
func (c *Client) Claim(ctx context.Context, out ownership.OutgoingClaim) (ownership.ClaimReply, error) {
	client, err := c.controlClient(out.To.Address)
	if err != nil {
		return ownership.ClaimReply{}, err
	}
	reply, err := client.Claim(ctx, toClaim(out.Message))
	if err != nil {
		return ownership.ClaimReply{}, wrap(err, "claim resources")
	}
	return fromClaimReply(reply), nil
}

// Report implements control.Peers.
func (c *Client) Report(ctx context.Context, to member.Peer, service fleet.ServiceName, report floor.Report) (floor.Reply, error) {
	client, err := c.controlClient(to.Address)
	if err != nil {
		return floor.Reply{}, err
	}
	reply, err := client.Permit(ctx, toReport(service, report))
	if err != nil {
		return floor.Reply{}, wrap(err, "report to a steward")
	}
	return fromFloorReply(reply), nil
}

// Probe implements control.Peers.
func (c *Client) Probe(ctx context.Context, to member.Peer, server fleet.ListedServer) (bool, error) {
	client, err := c.controlClient(to.Address)
	if err != nil {
		return false, err
	}
	reply, err := client.Probe(ctx, &peerpb.ProbeRequest{
		Service: string(server.Service),
		Server:  string(server.ID),
		Address: string(server.Address),
	})
	if err != nil {
		return false, wrap(err, "request a probe from a peer")
	}
	return reply.GetReachable(), nil
}

// Fetch implements control.Peers. The result is decoded but not validated.
func (c *Client) Fetch(ctx context.Context, to member.Peer, known control.KnownDocuments) (control.Documents, error) {
	client, err := c.controlClient(to.Address)
	if err != nil {
		return control.Documents{}, err
	}
	reply, err := client.Fetch(ctx, &peerpb.FetchRequest{
		KnownVersion:  uint64(known.ConfigVersion),
		KnownRevision: uint64(known.ListingRevision),
	}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return control.Documents{}, wrap(err, "fetch documents from a peer")
	}
	var documents control.Documents
	if len(reply.GetDocument()) > 0 {
		// The document is validated against its rules and digest when it is adopted.
		var decoded config.Document
		if err := json.Unmarshal(reply.GetDocument(), &decoded); err != nil {
			return control.Documents{}, wrap(err, "decode a configuration from a peer")
		}
		documents.Config = &decoded
	}
	if len(reply.GetListing()) > 0 {
		var list fleet.Listing
		if err := json.Unmarshal(reply.GetListing(), &list); err != nil {
			return control.Documents{}, wrap(err, "decode a listing from a peer")
		}
		documents.Listing = &list
	}
	if len(reply.GetChanges()) > 0 {
		var changes listing.Delta
		if err := json.Unmarshal(reply.GetChanges(), &changes); err != nil {
			return control.Documents{}, wrap(err, "decode the changes of a listing from a peer")
		}
		documents.ListingDelta = &changes
	}
	return documents, nil
}

// Mint implements traffic.Peers.
func (c *Client) Mint(ctx context.Context, to member.Peer, service fleet.ServiceName) (once.Token, error) {
	client, err := c.controlClient(to.Address)
	if err != nil {
		return "", err
	}
	reply, err := client.Mint(ctx, &peerpb.MintRequest{Service: string(service)})
	if err != nil {
		return "", wrap(err, "get a token from a peer")
	}
	return once.Token(reply.GetToken()), nil
}

// Execute implements traffic.Peers. It returns false if the request was not sent.
func (c *Client) Execute(ctx context.Context, to member.Peer, request exchange.Request) (exchange.Response, bool) {
	client, ready := c.requestClient(ctx, to.Address)
	if !ready {
		return exchange.Response{}, false
	}
	reply, err := client.Execute(ctx, toRequest(request))
	if err != nil {
		return noReply(ctx), true
	}
	return fromResponse(reply), true
}

// Submit implements traffic.Peers. It returns false if the request was not sent.
func (c *Client) Submit(ctx context.Context, to member.Peer, token once.Token, request exchange.Request) (exchange.Response, bool) {
	client, ready := c.requestClient(ctx, to.Address)
	if !ready {
		return exchange.Response{}, false
	}
	reply, err := client.Submit(ctx, &peerpb.SubmitRequest{Token: string(token), Request: toRequest(request)})
	if err != nil {
		return noReply(ctx), true
	}
	return fromResponse(reply), true
}

// Handover sends a batch of records to a successor. It returns ErrNotAccepted if
// the successor refuses the batch.
func (c *Client) Handover(ctx context.Context, to member.Peer, batch once.Handover) error {
	client, err := c.controlClient(to.Address)
	if err != nil {
		return err
	}
	reply, err := client.Handover(ctx, toHandover(batch))
	if err != nil {
		return wrap(err, "hand over records")
	}
	if !reply.GetAccepted() {
		return ErrNotAccepted
	}
	return nil
}

// noReply returns the response to a request that a peer received or may have
// received, but did not reply to.
func noReply(ctx context.Context) exchange.Response {
	if ctx.Err() != nil {
		return exchange.Refuse(exchange.UpstreamTimeout, "no reply came from the owner before the deadline")
	}
	return exchange.Refuse(exchange.UpstreamLost, "the connection to the owner broke")
}
