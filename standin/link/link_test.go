package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/link"
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

// startEcho starts a server that returns all received bytes, until the test ends.
func startEcho(t *testing.T) fleet.Address {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return fleet.Address(l.Addr().String())
}

// startLinks starts the links "a>b" and "b>a" to one echo server.
func startLinks(t *testing.T, shape link.Shape) *link.Links {
	t.Helper()
	target := startEcho(t)
	links, err := link.Start("127.0.0.1:0", []link.Options{
		{Name: "a>b", Listen: "127.0.0.1:0", Target: target, Shape: shape},
		{Name: "b>a", Listen: "127.0.0.1:0", Target: target, Shape: shape},
	}, clockwork.NewRealClock())
	require.NoError(t, err)
	t.Cleanup(links.Close)
	return links
}

// dial connects to the echo server through the link "a>b".
func dial(t *testing.T, links *link.Links) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(links.States()[0].Listen))
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

// exchangeLine sends a line and returns the line received within the timeout.
func exchangeLine(t *testing.T, conn net.Conn, line string, within time.Duration) (string, error) {
	t.Helper()
	_, err := io.WriteString(conn, line+"\n")
	require.NoError(t, err)
	return readLine(t, conn, within)
}

func readLine(t *testing.T, conn net.Conn, within time.Duration) (string, error) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(within)))
	return bufio.NewReader(conn).ReadString('\n')
}

func newTrue() *bool  { v := true; return &v }
func newFalse() *bool { v := false; return &v }

// Guards against a cut that closes connections or loses bytes, which a network
// partition does not do, and against a cut of the wrong direction.
func TestCutHoldsAndHeals(t *testing.T) {
	tests := []struct {
		name          string
		cut           link.Change
		heal          link.Change
		reachesTarget bool
	}{
		{"up", link.Change{CutUp: newTrue()}, link.Change{CutUp: newFalse()}, false},
		{"down", link.Change{CutDown: newTrue()}, link.Change{CutDown: newFalse()}, true},
		{"both", link.Change{CutUp: newTrue(), CutDown: newTrue()}, link.Change{CutUp: newFalse(), CutDown: newFalse()}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			links := startLinks(t, link.Shape{})
			existing, err := dial(t, links)
			require.NoError(t, err)
			_, err = exchangeLine(t, existing, "before", time.Second)
			require.NoError(t, err)

			n, err := links.Change("a>*", test.cut)
			require.NoError(t, err)
			require.Equal(t, 1, n)
			_, err = exchangeLine(t, existing, "during", 50*time.Millisecond)
			require.ErrorContains(t, err, "timeout")
			added, err := dial(t, links)
			require.NoError(t, err)
			_, err = exchangeLine(t, added, "fresh", 50*time.Millisecond)
			require.ErrorContains(t, err, "timeout")
			reachedTarget := links.States()[0].BytesUp > int64(len("before\n"))
			assert.Equal(t, test.reachesTarget, reachedTarget)

			_, err = links.Change("a>*", test.heal)
			require.NoError(t, err)
			got, err := readLine(t, existing, time.Second)
			require.NoError(t, err)
			assert.Equal(t, "during\n", got)
			got, err = readLine(t, added, time.Second)
			require.NoError(t, err)
			assert.Equal(t, "fresh\n", got)
		})
	}
}

// Guards against a link with a shorter delay than its shape sets.
func TestDelay(t *testing.T) {
	ms := func(n float64) jsontime.Duration { return jsontime.Duration(n * float64(time.Millisecond)) }
	tests := []struct {
		name    string
		shape   link.Shape
		atLeast time.Duration
	}{
		{"none", link.Shape{}, 0},
		{"4.5 ms one way", link.Shape{Delay: ms(4.5)}, 9 * time.Millisecond},
		{"jitter", link.Shape{Delay: ms(20), Jitter: ms(10)}, 20 * time.Millisecond},
		{"loss", link.Shape{StallShare: 1, Stall: ms(30)}, 60 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			conn, err := dial(t, startLinks(t, test.shape))
			require.NoError(t, err)
			started := time.Now()
			_, err = exchangeLine(t, conn, "x", 5*time.Second)
			require.NoError(t, err)
			assert.GreaterOrEqual(t, time.Since(started), test.atLeast)
		})
	}
}

// Guards against connections that stay open after a reset, and against a link
// that stays closed after a reset or after it no longer refuses.
func TestResetAndRefuse(t *testing.T) {
	tests := []struct {
		name    string
		change  link.Change
		refuses bool
	}{
		{"reset", link.Change{Reset: true}, false},
		{"refuse", link.Change{Refuse: newTrue()}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			links := startLinks(t, link.Shape{})
			conn, err := dial(t, links)
			require.NoError(t, err)
			_, err = exchangeLine(t, conn, "before", time.Second)
			require.NoError(t, err)
			_, err = links.Change("*", test.change)
			require.NoError(t, err)
			_, err = readLine(t, conn, time.Second)
			require.Error(t, err)
			require.NotContains(t, err.Error(), "timeout")
			_, err = dial(t, links)
			assert.Equal(t, test.refuses, err != nil)
			_, err = links.Change("*", link.Change{Refuse: newFalse()})
			require.NoError(t, err)
			conn, err = dial(t, links)
			require.NoError(t, err)
			_, err = exchangeLine(t, conn, "after", time.Second)
			require.NoError(t, err)
		})
	}
}

// Guards against a mistyped pattern that changes no link and returns no error.
func TestChangeRefusals(t *testing.T) {
	tests := []struct {
		name    string
		pattern string
		failure string
	}{
		{"no match", "c>*", "no link"},
		{"bad pattern", "[", "syntax error"},
	}
	links := startLinks(t, link.Shape{})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := links.Change(test.pattern, link.Change{CutUp: newTrue()})
			require.ErrorContains(t, err, test.failure)
		})
	}
}
