package snapshot

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/route"
	"galenaridge/io/peer/peerpb"
)

// testCopy is the copy of an instance, which a test changes.
type testCopy struct {
	mu       sync.Mutex
	listing  follow.Listing
	document *route.Document
}

func (c *testCopy) ChangesSince(_ context.Context, known fleet.Position) (follow.Listing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known.Before(fleet.Position{Era: 2, Revision: 10}) {
		return follow.Listing{}, follow.ErrCompacted
	}
	return follow.Listing{Position: c.listing.Position, Partial: true, Changes: []follow.Change{{Position: fleet.Position{Era: 2, Revision: 11}, Removed: "s1"}}}, nil
}

func (c *testCopy) Listing() follow.Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listing
}

func (c *testCopy) Configuration() *route.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

func (c *testCopy) set(change func(c *testCopy)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

type timer struct{ clockwork.Clock }

func (t timer) Sleep(_ context.Context, d time.Duration) error {
	t.Clock.Sleep(d)
	return nil
}

// largeDocument returns a configuration that needs several parts.
func largeDocument(version fleet.Version) *route.Document {
	d := &route.Document{Version: version}
	for i := range 3700 {
		d.Routes = append(d.Routes, route.Route{Name: fmt.Sprintf("r-%x", i*2654435761), Host: "h", Prefix: fmt.Sprintf("/%x/", i*40503)})
	}
	return d
}

func serve(t *testing.T, source Source, speed Mbps) fleet.Address {
	t.Helper()
	app := fiber.New()
	log := logrus.New()
	Register(app, Options{Source: source, Clock: timer{clockwork.NewRealClock()}, Log: log, LinkSpeed: speed})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	t.Cleanup(func() {
		_ = app.Shutdown()
		<-done
	})
	return fleet.Address(listener.Addr().String())
}

func contextWithTimeout(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestChanges guards against changes that are lost on the way, and against an incomplete
// listing when the peer no longer has all changes.
func TestChanges(t *testing.T) {
	source := &testCopy{listing: follow.Listing{Position: fleet.Position{Era: 2, Revision: 12}}}
	address, client := serve(t, source, 0), NewClient()
	listing, err := client.FetchChanges(contextWithTimeout(t), address, fleet.Position{Era: 2, Revision: 10})
	require.NoError(t, err)
	require.Equal(t, follow.Listing{Position: fleet.Position{Era: 2, Revision: 12}, Partial: true, Changes: []follow.Change{{Position: fleet.Position{Era: 2, Revision: 11}, Removed: "s1"}}}, listing)
	require.Positive(t, client.ReceivedBytes())
	_, err = client.FetchChanges(contextWithTimeout(t), address, fleet.Position{Era: 1, Revision: 90})
	require.ErrorIs(t, err, follow.ErrCompacted)
}

// TestDocuments guards against documents that differ from what the peer has, also if the
// peer gets a newer one during the transfer.
func TestDocuments(t *testing.T) {
	servers := follow.Listing{Position: fleet.Position{Era: 2, Revision: 40}, OutageAge: time.Second, Servers: []registry.Server{{Incarnation: registry.Incarnation{ID: "s1", StartedAt: 1}, Service: "s", Written: fleet.Position{Era: 2, Revision: 33}}}}
	settled := servers
	settled.Settled = true
	tests := []struct {
		name   string
		kind   follow.Kind
		copy   *testCopy
		change func(c *testCopy)
		want   follow.Listing
	}{
		{"servers", follow.Servers, &testCopy{listing: servers}, func(*testCopy) {}, servers},
		{"settled servers", follow.Servers, &testCopy{listing: settled}, func(*testCopy) {}, settled},
		{"configuration", follow.Configuration, &testCopy{document: largeDocument(3)}, func(*testCopy) {}, follow.Listing{Routes: largeDocument(3)}},
		{"configuration that changes", follow.Configuration, &testCopy{document: largeDocument(3)}, func(c *testCopy) { c.document = largeDocument(4) }, follow.Listing{Routes: largeDocument(3)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, client := serve(t, test.copy, 0), NewClient()
			var data []byte
			var first follow.Part
			for {
				part, err := client.FetchPart(contextWithTimeout(t), address, follow.PartRequest{Kind: test.kind, Generation: first.Generation, Offset: len(data)})
				require.NoError(t, err)
				require.Equal(t, len(data), part.Offset)
				require.LessOrEqual(t, len(part.Data), partBytes)
				if len(data) == 0 {
					first = part
				}
				data = append(data, part.Data...)
				test.copy.set(test.change)
				if len(data) >= first.Size {
					break
				}
			}
			require.Equal(t, first.Digest, digestOf(data))
			decoded, err := client.Decode(test.kind, data)
			require.NoError(t, err)
			require.Equal(t, test.want, decoded)
		})
	}
}

// TestPartsAreRefused guards against an answer other than an error to a request for a
// document that does not exist, and to invalid ones.
func TestPartsAreRefused(t *testing.T) {
	tests := []struct {
		name    string
		request follow.PartRequest
	}{
		{"no configuration", follow.PartRequest{Kind: follow.Configuration}},
		{"no listing", follow.PartRequest{Kind: follow.Servers}},
		{"changes have no parts", follow.PartRequest{Kind: follow.Changes}},
		{"negative offset", follow.PartRequest{Kind: follow.Servers, Offset: -1}},
	}
	address, client := serve(t, &testCopy{}, 0), NewClient()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := client.FetchPart(contextWithTimeout(t), address, test.request)
			require.Error(t, err)
		})
	}
}

// TestLinkShare guards against copies that fill the link of a small machine and delay the
// requests of callers.
func TestLinkShare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &pacer{clock: clock, linkSpeed: 10}
	sent, refused := 0, 0
	for range 1000 {
		if wait, ok := p.reserve(partBytes); ok {
			require.LessOrEqual(t, wait, maxPacingDelay)
			sent += partBytes
		} else {
			refused++
		}
		clock.Advance(time.Millisecond)
	}
	require.InDelta(t, 10e6/8*linkShare, sent, 10e6/8*linkShare*0.2)
	require.Positive(t, refused)
	unlimited := &pacer{clock: clock}
	for range 1000 {
		wait, ok := unlimited.reserve(partBytes)
		require.True(t, ok)
		require.Zero(t, wait)
	}
	address, client := serve(t, &testCopy{document: largeDocument(3)}, 0.1), NewClient()
	_, err := client.FetchPart(contextWithTimeout(t), address, follow.PartRequest{Kind: follow.Configuration})
	require.NoError(t, err)
	_, err = client.FetchPart(contextWithTimeout(t), address, follow.PartRequest{Kind: follow.Configuration})
	require.ErrorIs(t, err, follow.ErrBusy)
}

// TestDecodeLimits guards against a peer whose compressed document exhausts the memory, and
// against damaged ones.
func TestDecodeLimits(t *testing.T) {
	huge, err := encode(&peerpb.Routes{Routes: []*peerpb.Route{{Name: strings.Repeat("a", maxDocumentBytes+1)}}})
	require.NoError(t, err)
	valid, err := encode(toRoutes(largeDocument(3)))
	require.NoError(t, err)
	tests := []struct {
		name    string
		encoded []byte
	}{
		{"too large", huge},
		{"truncated", valid[:len(valid)/2]},
		{"not compressed", []byte("{}")},
		{"empty", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, kind := range []follow.Kind{follow.Servers, follow.Configuration} {
				_, err := NewClient().Decode(kind, test.encoded)
				require.Error(t, err)
			}
		})
	}
}

// TestChangeWithoutServer guards against a change of a later release, which this one does
// not know, that is taken for the removal of a server.
func TestChangeWithoutServer(t *testing.T) {
	encoded, err := encode(&peerpb.Servers{Revision: 5, Partial: true, Changes: []*peerpb.Change{{}}})
	require.NoError(t, err)
	_, err = NewClient().Decode(follow.Servers, encoded)
	require.Error(t, err)
}
