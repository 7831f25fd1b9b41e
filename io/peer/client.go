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
	// connectTimeout bounds the wait for a connection before a request is
	// delivered, so that another owner can be tried in time.
	connectTimeout = 300 * time.Millisecond
	// idleTimeout closes connections that carry nothing, so that 400
	// instances do not keep 400 connections each.
	idleTimeout = time.Minute
	// streamWindow and connWindow are the bytes that a peer may send before the
	// reader has taken them. Windows that grow by measurement send a ping with
	// each message, and its answer wakes both sides once more.
	streamWindow = 1 << 20
	connWindow   = 4 << 20
	// unusedLife is how long a connection is kept after its last call. It is far
	// longer than any call. Instances are replaced under new addresses all the
	// time.
	unusedLife = 5 * time.Minute
	// maxMessage bounds a message in bytes; the configuration may allow bodies of
	// 64 MiB.
	maxMessage = 66 << 20
)

// ClientOptions configure a Client.
type ClientOptions struct {
	Clock fleet.Clock
	// Via maps the address of an instance to the address to dial instead.
	Via map[fleet.Address]fleet.Address
	// Meter counts the bytes of control messages; nil counts nothing.
	Meter *Meter
}

// Client sends messages to other instances. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	mu      sync.Mutex
	conns   map[connKey]*link
}

// link is a connection with the time of its last use.
type link struct {
	conn *grpc.ClientConn
	used time.Time
}

// connKey separates control messages from requests of callers, so that large
// bodies do not delay heartbeats.
type connKey struct {
	address fleet.Address
	data    bool
}

// NewClient returns a client without connections.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, conns: map[connKey]*link{}}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, l := range c.conns {
		_ = l.conn.Close()
		delete(c.conns, key)
	}
}

// closeUnused closes connections that had no call for long; the lock is held.
func (c *Client) closeUnused(now time.Time) {
	for key, l := range c.conns {
		if now.Sub(l.used) > unusedLife {
			_ = l.conn.Close()
			delete(c.conns, key)
		}
	}
}

func (c *Client) conn(key connKey) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	if l, known := c.conns[key]; known {
		l.used = now
		return l.conn, nil
	}
	c.closeUnused(now)
	target := key.address
	if via, mapped := c.options.Via[target]; mapped {
		target = via
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
	}
	if !key.data && c.options.Meter != nil {
		options = append(options, grpc.WithStatsHandler(c.options.Meter))
	}
	conn, err := grpc.NewClient("passthrough:///"+string(target), options...)
	if err != nil {
		return nil, wrap(err, "open a connection to a peer")
	}
	c.conns[key] = &link{conn: conn, used: now}
	return conn, nil
}

func (c *Client) control(address fleet.Address) (peerpb.PeerClient, error) {
	conn, err := c.conn(connKey{address: address})
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// data returns a client whose connection is ready, so that a failure before
// that proves that nothing was delivered.
func (c *Client) data(ctx context.Context, address fleet.Address) (peerpb.PeerClient, bool) {
	conn, err := c.conn(connKey{address: address, data: true})
	if err != nil {
		return nil, false
	}
	if conn.GetState() == connectivity.Ready {
		// Almost always; no timer is needed.
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
	client, err := c.control(out.To.Address)
	if err != nil {
		return member.HeartbeatReply{}, 0, err
	}
	got, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{
		From:  toID(out.Message.From),
		Panel: uint64(out.Message.WitnessSetVersion),
		News:  toNews(out.Message.Gossip, time.Duration(age)),
	})
	if err != nil {
		return member.HeartbeatReply{}, 0, wrap(err, "send a heartbeat")
	}
	news, peerAge := fromNews(got.GetNews())
	return member.HeartbeatReply{
		From:         fromID(got.GetFrom()),
		Acknowledged: got.GetAcknowledged(),
		Fenced:       got.GetFenced(),
		Gossip:       news,
	}, control.PlatformAge(peerAge), nil
}

// Sync implements control.Peers.
func (c *Client) Sync(ctx context.Context, out member.OutgoingSync) (member.SyncReply, error) {
	client, err := c.control(out.To.Address)
	if err != nil {
		return member.SyncReply{}, err
	}
	got, err := client.Sync(ctx, &peerpb.SyncRequest{
		From:    toID(out.Message.From),
		Records: toRecords(out.Message.Records),
	}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return member.SyncReply{}, wrap(err, "exchange member records")
	}
	return member.SyncReply{Records: fromRecords(got.GetRecords())}, nil
}

// Fence implements control.Peers.
func (c *Client) Fence(ctx context.Context, out member.OutgoingFenceRequest) (member.FenceReply, error) {
	client, err := c.control(out.To.Address)
	if err != nil {
		return member.FenceReply{}, err
	}
	got, err := client.Fence(ctx, &peerpb.FenceRequest{
		From:   toID(out.Message.From),
		Target: toID(out.Message.Target),
		Panel:  uint64(out.Message.WitnessSetVersion),
	})
	if err != nil {
		return member.FenceReply{}, wrap(err, "ask for a fence vote")
	}
	return member.FenceReply{
		From:    fromID(got.GetFrom()),
		Granted: got.GetGranted(),
		Record:  fromRecord(got.GetRecord()),
	}, nil
}

// Claim implements control.Peers.
func (c *Client) Claim(ctx context.Context, out ownership.OutgoingClaim) (ownership.ClaimReply, error) {
	client, err := c.control(out.To.Address)
	if err != nil {
		return ownership.ClaimReply{}, err
	}
	got, err := client.Claim(ctx, toClaim(out.Message))
	if err != nil {
		return ownership.ClaimReply{}, wrap(err, "claim resources")
	}
	return fromClaimReply(got), nil
}

// Report implements control.Peers.
func (c *Client) Report(ctx context.Context, to member.Peer, service fleet.ServiceName, report floor.Report) (floor.Reply, error) {
	client, err := c.control(to.Address)
	if err != nil {
		return floor.Reply{}, err
	}
	got, err := client.Permit(ctx, toReport(service, report))
	if err != nil {
		return floor.Reply{}, wrap(err, "report to a steward")
	}
	return fromFloorReply(got), nil
}

// Probe implements control.Peers.
func (c *Client) Probe(ctx context.Context, to member.Peer, server fleet.ListedServer) (bool, error) {
	client, err := c.control(to.Address)
	if err != nil {
		return false, err
	}
	got, err := client.Probe(ctx, &peerpb.ProbeRequest{
		Service: string(server.Service),
		Server:  string(server.ID),
		Address: string(server.Address),
	})
	if err != nil {
		return false, wrap(err, "ask a peer to probe a server")
	}
	return got.GetReachable(), nil
}

// Fetch implements control.Peers. The digest of the document is checked.
func (c *Client) Fetch(ctx context.Context, to member.Peer, known control.KnownDocuments) (control.Documents, error) {
	client, err := c.control(to.Address)
	if err != nil {
		return control.Documents{}, err
	}
	got, err := client.Fetch(ctx, &peerpb.FetchRequest{
		KnownVersion:  uint64(known.ConfigVersion),
		KnownRevision: uint64(known.ListingRevision),
	}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return control.Documents{}, wrap(err, "fetch documents from a peer")
	}
	var documents control.Documents
	if len(got.GetDocument()) > 0 {
		// Adoption checks the rules and the digest of the document.
		var decoded config.Document
		if err := json.Unmarshal(got.GetDocument(), &decoded); err != nil {
			return control.Documents{}, wrap(err, "decode a configuration from a peer")
		}
		documents.Config = &decoded
	}
	if len(got.GetListing()) > 0 {
		var list fleet.Listing
		if err := json.Unmarshal(got.GetListing(), &list); err != nil {
			return control.Documents{}, wrap(err, "decode a listing from a peer")
		}
		documents.Listing = &list
	}
	if len(got.GetChanges()) > 0 {
		var changes listing.Delta
		if err := json.Unmarshal(got.GetChanges(), &changes); err != nil {
			return control.Documents{}, wrap(err, "decode changes of the listing from a peer")
		}
		documents.ListingDelta = &changes
	}
	return documents, nil
}

// Mint implements traffic.Peers.
func (c *Client) Mint(ctx context.Context, to member.Peer, service fleet.ServiceName) (once.Token, error) {
	client, err := c.control(to.Address)
	if err != nil {
		return "", err
	}
	got, err := client.Mint(ctx, &peerpb.MintRequest{Service: string(service)})
	if err != nil {
		return "", wrap(err, "get a token from a peer")
	}
	return once.Token(got.GetToken()), nil
}

// Execute implements traffic.Peers.
func (c *Client) Execute(ctx context.Context, to member.Peer, request exchange.Request) (exchange.Response, bool) {
	client, ready := c.data(ctx, to.Address)
	if !ready {
		return exchange.Response{}, false
	}
	got, err := client.Execute(ctx, toRequest(request))
	if err != nil {
		return lost(ctx), true
	}
	return fromResponse(got), true
}

// Submit implements traffic.Peers.
func (c *Client) Submit(ctx context.Context, to member.Peer, token once.Token, request exchange.Request) (exchange.Response, bool) {
	client, ready := c.data(ctx, to.Address)
	if !ready {
		return exchange.Response{}, false
	}
	got, err := client.Submit(ctx, &peerpb.SubmitRequest{Token: string(token), Request: toRequest(request)})
	if err != nil {
		return lost(ctx), true
	}
	return fromResponse(got), true
}

// Handover gives a batch of records to a successor.
func (c *Client) Handover(ctx context.Context, to member.Peer, batch once.Handover) error {
	client, err := c.control(to.Address)
	if err != nil {
		return err
	}
	got, err := client.Handover(ctx, toHandover(batch))
	if err != nil {
		return wrap(err, "hand over records")
	}
	if !got.GetAccepted() {
		return ErrNotAccepted
	}
	return nil
}

// lost is the response when a peer got a request, or may have got it, and no
// reply came.
func lost(ctx context.Context) exchange.Response {
	if ctx.Err() != nil {
		return exchange.Refuse(exchange.UpstreamTimeout, "no reply came from the owner before the deadline")
	}
	return exchange.Refuse(exchange.UpstreamLost, "the connection to the owner broke")
}
