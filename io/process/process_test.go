package process

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/io/document"
	"galenaridge/io/setting"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/platform"
	"galenaridge/standin/server"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// fasthttp starts these once for all servers and clients.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

const service fleet.ServiceName = "svc"

// world is one instance with a platform and one server.
type world struct {
	*Process
	server *server.Server
	http   *http.Client
	stop   context.CancelFunc
	ended  chan error
}

// start runs everything in this process until the test ends, and waits until
// the instance is ready.
func start(t *testing.T, mean time.Duration) *world {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := startLogging(t, mean, log)
	require.Eventually(t, func() bool {
		view := w.control.View()
		return w.Ready() && view.Services[service] != nil && len(view.Services[service].OwnedServers) == 1
	}, 8*time.Second, 10*time.Millisecond)
	return w
}

func startLogging(t *testing.T, mean time.Duration, log *logrus.Logger) *world {
	t.Helper()
	clock := clockwork.NewRealClock()
	list, err := platform.Start(platform.Options{Readers: "127.0.0.1:0", Operators: "127.0.0.1:0"}, clock)
	require.NoError(t, err)
	t.Cleanup(list.Close)
	upstream, err := server.Start(server.Options{
		ID: "s1", Service: service, Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Slots: 2, Mean: jsontime.Duration(mean),
	}, clock)
	require.NoError(t, err)
	t.Cleanup(upstream.Close)
	w := &world{server: upstream, http: &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}, ended: make(chan error, 1)}
	t.Cleanup(w.http.CloseIdleConnections)
	settings := setting.Defaults()
	settings.ID, settings.Domain = "i1", "d"
	settings.Listen = setting.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	settings.Platform = []string{"http://" + string(list.Readers())}
	settings.Drain = 100 * time.Millisecond
	w.Process, err = New(Options{Settings: settings, Clock: clock, Log: log})
	require.NoError(t, err)
	d := config.Document{
		Version: 1, Deployment: "d", Domains: []fleet.Domain{"d"},
		Services: []config.Service{{Name: service, Slots: 2, Conns: 10, Floor: 1, Deadline: 2 * time.Second}},
		Limits:   config.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, AssignmentTTL: 5 * time.Second, TokenTTL: 10 * time.Minute},
	}
	d.Digest = config.DigestOf(d)
	encoded, err := document.EncodeConfig(d, nil)
	require.NoError(t, err)
	w.put(t, list, "config", encoded)
	listing, err := json.Marshal(fleet.Listing{
		Instances: []fleet.ListedInstance{{ID: "i1", Domain: "d", PeerAddress: fleet.Address(w.peerListener.Addr().String())}},
		Servers:   []fleet.ListedServer{{ID: "s1", Service: service, Domain: "d", Address: upstream.Listen()}},
	})
	require.NoError(t, err)
	w.put(t, list, "list", listing)
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	var running conc.WaitGroup
	running.Go(func() { w.ended <- w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return w
}

func (w *world) put(t *testing.T, list *platform.Platform, path string, value []byte) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+string(list.Operators())+"/v1/"+path, bytes.NewReader(value))
	require.NoError(t, err)
	response, err := w.http.Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

// answer is a whole response.
type answer struct {
	status int
	header http.Header
	body   string
}

func (a answer) outcome() string { return a.header.Get("Galenaridge-Outcome") }

// send makes one request of a caller.
func (w *world) send(t *testing.T, method string, headers ...string) answer {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+w.callerListener.Addr().String()+"/svc/path", strings.NewReader("body"))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := w.http.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return answer{response.StatusCode, response.Header, string(body)}
}

// TestRequests guards against a request that takes another way than it should
// through the whole instance, and against a key that runs twice.
func TestRequests(t *testing.T) {
	t.Parallel()
	w := start(t, 5*time.Millisecond)
	plain := w.send(t, http.MethodGet)
	assert.Equal(t, "done", plain.outcome())
	assert.Contains(t, plain.body, "s1")
	assert.Empty(t, plain.header.Get("Galenaridge-Key"))
	first := w.send(t, http.MethodPost)
	assert.Equal(t, "done", first.outcome())
	token, key := first.header.Get("Galenaridge-Token"), first.header.Get("Galenaridge-Key")
	require.NotEmpty(t, token)
	require.NotEmpty(t, key)
	again := w.send(t, http.MethodPost, "Galenaridge-Token", token, "Galenaridge-Key", key)
	assert.Equal(t, "done", again.outcome())
	assert.Equal(t, first.body, again.body)
	assert.Equal(t, 1, w.server.Stats().KeysRun)
	assert.Zero(t, w.server.Stats().KeysRepeated)
	assert.Equal(t, 2, w.server.Stats().Started)
	refused := w.send(t, http.MethodPost, "Galenaridge-Key", "k")
	assert.Equal(t, http.StatusPreconditionRequired, refused.status)
	assert.Equal(t, "not-run", refused.outcome())
	w.stop()
	require.NoError(t, <-w.ended)
}

// TestPlannedStop guards against a planned stop that interrupts a request in
// flight or leaves the caller without its answer.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	w := start(t, 700*time.Millisecond)
	outcome := make(chan string, 1)
	var sending conc.WaitGroup
	sending.Go(func() {
		outcome <- w.send(t, http.MethodPost).outcome()
	})
	require.Eventually(t, func() bool { return w.server.Stats().InFlight == 1 }, 5*time.Second, 5*time.Millisecond)
	w.stop()
	require.Eventually(t, w.Draining, 5*time.Second, 5*time.Millisecond)
	assert.Equal(t, "done", <-outcome)
	sending.Wait()
	require.NoError(t, <-w.ended)
	assert.Equal(t, 1, w.server.Stats().Finished)
}

// faultyHook panics in the control goroutine when a configuration comes into
// force.
type faultyHook struct{}

func (faultyHook) Levels() []logrus.Level { return logrus.AllLevels }

func (faultyHook) Fire(entry *logrus.Entry) error {
	if entry.Message == "configuration in force" {
		panic("hook fault")
	}
	return nil
}

// TestControlEnds guards against a process that goes on without its control
// goroutine and is never replaced.
func TestControlEnds(t *testing.T) {
	t.Parallel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(faultyHook{})
	w := startLogging(t, time.Millisecond, log)
	select {
	case err := <-w.ended:
		assert.ErrorContains(t, err, "control ended")
	case <-time.After(5 * time.Second):
		t.Error("the process goes on")
	}
}
