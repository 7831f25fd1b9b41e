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

// echo answers each line with itself until the listener closes.
func echo(t *testing.T) fleet.Address {
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

// start opens the links "a>b" and "b>a" to one echo server.
func start(t *testing.T, shape link.Shape) *link.Links {
	t.Helper()
	target := echo(t)
	links, err := link.Start("127.0.0.1:0", []link.Options{
		{Name: "a>b", Listen: "127.0.0.1:0", Target: target, Shape: shape},
		{Name: "b>a", Listen: "127.0.0.1:0", Target: target, Shape: shape},
	}, clockwork.NewRealClock())
	require.NoError(t, err)
	t.Cleanup(links.Close)
	return links
}

// dial connects through the first link.
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

// say sends a line and returns what comes back within the time.
func say(t *testing.T, conn net.Conn, line string, within time.Duration) (string, error) {
	t.Helper()
	_, err := io.WriteString(conn, line+"\n")
	require.NoError(t, err)
	return hear(t, conn, within)
}

func hear(t *testing.T, conn net.Conn, within time.Duration) (string, error) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(within)))
	return bufio.NewReader(conn).ReadString('\n')
}

func yes() *bool { v := true; return &v }
func no() *bool  { v := false; return &v }

// Guards against a cut that closes connections or loses bytes, which no
// partition does, and against one that blocks the wrong direction.
func TestCutHoldsAndHeals(t *testing.T) {
	tests := []struct {
		name          string
		cut           link.Change
		heal          link.Change
		reachesTarget bool
	}{
		{"up", link.Change{CutUp: yes()}, link.Change{CutUp: no()}, false},
		{"down", link.Change{CutDown: yes()}, link.Change{CutDown: no()}, true},
		{"both", link.Change{CutUp: yes(), CutDown: yes()}, link.Change{CutUp: no(), CutDown: no()}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			links := start(t, link.Shape{})
			old, err := dial(t, links)
			require.NoError(t, err)
			_, err = say(t, old, "before", time.Second)
			require.NoError(t, err)

			n, err := links.Change("a>*", test.cut)
			require.NoError(t, err)
			require.Equal(t, 1, n)
			_, err = say(t, old, "during", 50*time.Millisecond)
			require.ErrorContains(t, err, "timeout")
			fresh, err := dial(t, links)
			require.NoError(t, err)
			_, err = say(t, fresh, "fresh", 50*time.Millisecond)
			require.ErrorContains(t, err, "timeout")
			up := links.States()[0].BytesUp > int64(len("before\n"))
			assert.Equal(t, test.reachesTarget, up)

			_, err = links.Change("a>*", test.heal)
			require.NoError(t, err)
			got, err := hear(t, old, time.Second)
			require.NoError(t, err)
			assert.Equal(t, "during\n", got)
			got, err = hear(t, fresh, time.Second)
			require.NoError(t, err)
			assert.Equal(t, "fresh\n", got)
		})
	}
}

// Guards against a link that is faster than the path it stands for.
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
			conn, err := dial(t, start(t, test.shape))
			require.NoError(t, err)
			began := time.Now()
			_, err = say(t, conn, "x", 5*time.Second)
			require.NoError(t, err)
			assert.GreaterOrEqual(t, time.Since(began), test.atLeast)
		})
	}
}

// Guards against connections that survive a reset, or a link that stays
// closed after one.
func TestResetAndRefuse(t *testing.T) {
	tests := []struct {
		name    string
		change  link.Change
		refuses bool
	}{
		{"reset", link.Change{Reset: true}, false},
		{"refuse", link.Change{Refuse: yes()}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			links := start(t, link.Shape{})
			conn, err := dial(t, links)
			require.NoError(t, err)
			_, err = say(t, conn, "before", time.Second)
			require.NoError(t, err)
			_, err = links.Change("*", test.change)
			require.NoError(t, err)
			_, err = hear(t, conn, time.Second)
			require.Error(t, err)
			require.NotContains(t, err.Error(), "timeout")
			_, err = dial(t, links)
			assert.Equal(t, test.refuses, err != nil)
			_, err = links.Change("*", link.Change{Refuse: no()})
			require.NoError(t, err)
			conn, err = dial(t, links)
			require.NoError(t, err)
			_, err = say(t, conn, "after", time.Second)
			require.NoError(t, err)
		})
	}
}

// Guards against a mistyped pattern that changes nothing without a word.
func TestChangeRefusals(t *testing.T) {
	tests := []struct {
		name    string
		pattern string
		failure string
	}{
		{"no match", "c>*", "no link"},
		{"bad pattern", "[", "syntax error"},
	}
	links := start(t, link.Shape{})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := links.Change(test.pattern, link.Change{CutUp: yes()})
			require.ErrorContains(t, err, test.failure)
		})
	}
}
