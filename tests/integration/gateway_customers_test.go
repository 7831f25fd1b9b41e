package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/backend"
)

// Keys of the customers in these tests. They are odd enough to be found in any output.
const (
	firstKey   = "2ftimaj3nr26tta828m8"
	secondKey  = "2thhkmgjqnirth5mgjy5"
	unknownKey = "9zzunknown9key9zz000"
)

// customersConfig returns a configuration with a list of customers, as JSON text, routes that
// need a key and a public one. It has no list if the text is empty.
func customersConfig(version int, customers string) []byte {
	if customers != "" {
		customers = `"tenants":` + customers + ","
	}
	return fmt.Appendf(nil, `{"version":%d,"services":[{"name":"one"}],%s
"limits":{"max_header_bytes":16384,"max_body_bytes":400000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"hosts":[{"host":"h.example","paths":[
{"name":"read","prefix":"/read/","type":"idempotent","timeout_ms":1500,"target_latency_ms":400,"priority":2,"service":"one","max_attempts":2},
{"name":"write","prefix":"/write/","type":"non_idempotent","timeout_ms":1500,"target_latency_ms":400,"priority":2,"service":"one","max_attempts":2},
{"name":"open","prefix":"/open/","type":"non_idempotent","public":true,"timeout_ms":1500,"target_latency_ms":400,"priority":2,"service":"one","max_attempts":2}]}]}`, version, customers)
}

const bothCustomers = `[{"name":"sese880","api_keys":["` + firstKey + `"],"priority":1.0,"rate_per_s":445.0,"burst":445},{"name":"uru12","api_keys":["` + secondKey + `"]}]`

// callerConn is a connection that stays open, on which a test writes request heads itself.
type callerConn struct {
	t      *testing.T
	socket net.Conn
	reader *bufio.Reader
	sent   int
}

func dialCaller(t *testing.T, address string) *callerConn {
	t.Helper()
	socket, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return &callerConn{t: t, socket: socket, reader: bufio.NewReader(socket)}
}

// head returns the head of a request with further header lines.
func (c *callerConn) head(method, path string, lines ...string) string {
	c.sent++
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nGalenaridge-Request-Id: %s-%d\r\nGalenaridge-Deadline-Ms: 1000\r\nContent-Length: 0\r\n%s\r\n",
		method, path, c.socket.LocalAddr(), c.sent, strings.Join(append(lines, ""), "\r\n"))
}

func (c *callerConn) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.socket, text)
	require.NoError(c.t, err)
}

// read returns the status and the body of the next response.
func (c *callerConn) read() (int, http.Header, string) {
	c.t.Helper()
	require.NoError(c.t, c.socket.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response.StatusCode, response.Header, string(body)
}

// call sends one request and returns the status and the body of its response.
func (c *callerConn) call(method, path string, lines ...string) (int, string) {
	c.t.Helper()
	c.write(c.head(method, path, lines...))
	status, _, body := c.read()
	return status, body
}

func bearer(key string) string { return "Authorization: Bearer " + key }

// executed returns all requests that the servers ran.
func executed(servers []*backend.Server) []backend.ExecutedRequest {
	var all []backend.ExecutedRequest
	for _, server := range servers {
		all = append(all, server.ExecutedRequests()...)
	}
	return all
}

// awaitVersion waits until instances have a version of the configuration in force.
func (f *gatewayFleet) awaitVersion(version int, instances ...*gatewayInstance) {
	f.t.Helper()
	for _, instance := range instances {
		require.Eventually(f.t, func() bool { return f.gauge(instance, "galenaridge_config_version") == float64(version) }, 5*time.Second, 20*time.Millisecond)
	}
}

// outputs returns all that an instance shows to operators.
func (f *gatewayFleet) outputs(instance *gatewayInstance) string {
	f.t.Helper()
	all := instance.log.String()
	for _, path := range []string{"/metrics", "/state"} {
		response, err := http.Get("http://" + instance.operatorAddress + path)
		require.NoError(f.t, err)
		content, err := io.ReadAll(response.Body)
		require.NoError(f.t, err)
		_ = response.Body.Close()
		all += string(content)
	}
	shown, err := exec.Command(f.binary, "show", "--operator", instance.operatorAddress).CombinedOutput()
	require.NoError(f.t, err, string(shown))
	return all + string(shown)
}

// TestGatewayCustomers guards, in the real program, against requests that run without a
// valid key, against keys that reach a server or an output, against a customer that a
// caller names itself, and against an invalid configuration that comes into force.
func TestGatewayCustomers(t *testing.T) {
	f := newGatewayFleet(t, 2)
	servers := f.startServers("one", "i-1", "i-2")
	f.store.Put("op/config", customersConfig(3, bothCustomers))
	for _, instance := range f.instances {
		f.start(instance)
	}
	f.awaitReady(f.instances...)
	tests := []struct {
		name     string
		path     string
		lines    []string
		status   int
		customer []string
	}{
		{"first", "/read/x", []string{bearer(firstKey)}, 200, []string{"sese880"}},
		{"second, odd spelling", "/write/x", []string{"aUTHORIZATION:  bearer   " + secondKey + " "}, 200, []string{"uru12"}},
		{"forged name", "/write/x", []string{bearer(firstKey), "galenaridge-TENANT: uru12", "Galenaridge-Tenant: uru12"}, 200, []string{"sese880"}},
		{"unknown", "/write/x", []string{bearer(unknownKey)}, 401, nil},
		{"unknown and forged", "/write/x", []string{bearer(unknownKey), "Galenaridge-Tenant: uru12"}, 401, nil},
		{"missing", "/read/x", nil, 401, nil},
		{"two fields", "/read/x", []string{bearer(firstKey), bearer(unknownKey)}, 401, nil},
		{"no route", "/none/x", []string{bearer(unknownKey)}, 404, nil},
		{"public", "/open/x", []string{"Galenaridge-Tenant: uru12"}, 200, nil},
		{"public, unknown", "/open/x", []string{bearer(unknownKey)}, 200, nil},
		{"public, known", "/open/x", []string{bearer(secondKey)}, 200, []string{"uru12"}},
	}
	for _, instance := range f.instances {
		conn := dialCaller(t, instance.callerAddress)
		for _, test := range tests {
			before := len(executed(servers))
			conn.write(conn.head("POST", test.path, test.lines...))
			status, header, body := conn.read()
			require.Equal(t, test.status, status, "%s: %s", test.name, body)
			for _, key := range []string{firstKey, secondKey, unknownKey} {
				require.NotContains(t, body+fmt.Sprint(header), key)
			}
			if test.status != 200 {
				require.Len(t, executed(servers), before, "%s: a refused request ran", test.name)
				continue
			}
			id := fmt.Sprintf("%s-%d", conn.socket.LocalAddr(), conn.sent)
			for _, run := range executed(servers) {
				if run.ID == id {
					require.Equal(t, test.customer, run.Header["Galenaridge-Tenant"], test.name)
				}
			}
		}
	}

	// The store may hold a configuration in which two customers share a key.
	f.store.Put("op/config", customersConfig(4, `[{"name":"sese880","api_keys":["`+firstKey+`"]},{"name":"thief","api_keys":["`+firstKey+`","`+unknownKey+`"]}]`))
	require.Eventually(t, func() bool {
		return f.gauge(f.instances[0], "galenaridge_config_refused")+f.gauge(f.instances[1], "galenaridge_config_refused") >= 1
	}, 5*time.Second, 20*time.Millisecond)
	for _, instance := range f.instances {
		conn := dialCaller(t, instance.callerAddress)
		require.InDelta(t, 3, f.gauge(instance, "galenaridge_config_version"), 0)
		for _, test := range []struct {
			key    string
			status int
		}{{firstKey, 200}, {secondKey, 200}, {unknownKey, 401}} {
			status, body := conn.call("POST", "/write/x", bearer(test.key))
			require.Equal(t, test.status, status, body)
		}
	}

	// An instance that starts now finds only the refused configuration in the store.
	restarted := f.instances[1]
	require.NoError(t, restarted.command.Process.Kill())
	_ = restarted.command.Wait()
	before := restarted.log.String()
	f.start(restarted)
	f.awaitReady(restarted)
	for line, want := range map[string]int{bearer(firstKey): 200, bearer(unknownKey): 401, "X-None: 1": 401} {
		status, body := dialCaller(t, restarted.callerAddress).call("POST", "/write/x", line)
		require.Equal(t, want, status, body)
	}
	for _, key := range []string{firstKey, secondKey, unknownKey} {
		require.NotContains(t, before, key)
	}

	shown, err := exec.Command(f.binary, "show", "--operator", f.instances[0].operatorAddress).CombinedOutput()
	require.NoError(t, err, string(shown))
	require.Contains(t, string(shown), "sese880")
	require.Contains(t, string(shown), "445/s")

	// A key in a value of the wrong type must not be quoted either.
	f.store.Put("op/config", customersConfig(5, `[{"name":"sese880","api_keys":["`+firstKey+`"],"rate_per_s":"`+secondKey+`"},{"name":"uru12","api_keys":{"`+unknownKey+`":1}}]`))
	require.Eventually(t, func() bool {
		return strings.Contains(f.instances[0].log.String()+f.instances[1].log.String(), "cannot decode the customers")
	}, 5*time.Second, 20*time.Millisecond)
	for _, run := range executed(servers) {
		for name, values := range run.Header {
			require.NotContains(t, strings.Join(values, " "), "earer", name)
			require.NotContains(t, strings.Join(values, " "), firstKey, name)
		}
	}
	for _, instance := range f.instances {
		all := f.outputs(instance)
		require.Contains(t, all, `"code":"unauthorized"`)
		require.Contains(t, all, `"cause":"the request has no key"`)
		require.Contains(t, all, `"cause":"the key of the request is not known"`)
		require.Contains(t, all, `galenaridge_customer_requests_total{customer="sese880",reason="2xx"}`)
		for _, key := range []string{firstKey, secondKey, unknownKey} {
			require.NotContains(t, all, key)
		}
	}
}

// TestGatewayPipelinedKeys guards against a request of a pipeline that is served with the
// key of another one on the same connection.
func TestGatewayPipelinedKeys(t *testing.T) {
	f := newGatewayFleet(t, 1)
	servers := f.startServers("one", "i-1", "i-2")
	f.store.Put("op/config", customersConfig(3, bothCustomers))
	f.start(f.instances[0])
	f.awaitReady(f.instances[0])
	conn := dialCaller(t, f.instances[0].callerAddress)
	steps := []struct {
		line     string
		status   int
		customer string
	}{
		{bearer(firstKey), 200, "sese880"},
		{bearer(unknownKey), 401, ""},
		{bearer(secondKey), 200, "uru12"},
		{"X-None: 1", 401, ""},
		{bearer(firstKey), 200, "sese880"},
	}
	var text strings.Builder
	for i, step := range steps {
		text.WriteString(conn.head("POST", fmt.Sprintf("/write/%d", i), step.line))
	}
	conn.write(text.String())
	for i, step := range steps {
		status, _, body := conn.read()
		require.Equal(t, step.status, status, "%d: %s", i, body)
	}
	customers := make(map[string]string)
	for _, run := range executed(servers) {
		customers[run.URI] = run.Header.Get("Galenaridge-Tenant")
	}
	require.Equal(t, map[string]string{"/write/0": "sese880", "/write/2": "uru12", "/write/4": "sese880"}, customers)
}

// TestGatewayKeyChanges guards against a removed key that works, and an added key that is
// refused, later than 2.5 s after the store has the change, on connections that were open
// before and on all instances.
func TestGatewayKeyChanges(t *testing.T) {
	const applyTime = 2500 * time.Millisecond
	f := newGatewayFleet(t, 4)
	f.startServers("one", "i-1", "i-2")
	f.store.Put("op/config", customersConfig(3, bothCustomers))
	for _, instance := range f.instances {
		f.start(instance)
	}
	f.awaitReady(f.instances...)
	f.awaitVersion(3, f.instances...)
	var conns []*callerConn
	for _, instance := range f.instances {
		conn := dialCaller(t, instance.callerAddress)
		status, body := conn.call("POST", "/write/x", bearer(firstKey))
		require.Equal(t, 200, status, body)
		conns = append(conns, conn)
	}
	f.store.Put("op/config", customersConfig(4, `[{"name":"sese880","api_keys":["`+unknownKey+`"]}]`))
	changedAt := time.Now()
	time.Sleep(applyTime - time.Since(changedAt))
	for _, conn := range conns {
		status, body := conn.call("POST", "/write/x", bearer(firstKey))
		require.Equal(t, 401, status, body)
		status, body = conn.call("POST", "/write/x", bearer(unknownKey))
		require.Equal(t, 200, status, body)
	}
}

// TestGatewayEmptyCustomers guards against routes that open, and keys that reach servers, when a
// version takes the last customer away: its list of customers is empty and not missing. It checks
// the instance that reads the store and those that have the copies of peers.
func TestGatewayEmptyCustomers(t *testing.T) {
	f := newGatewayFleet(t, 3)
	servers := f.startServers("one", "i-1", "i-2")
	tests := []struct {
		name      string
		customers string
		// keysRequired is what the instances must do, shown what they must show.
		keysRequired bool
		shown        string
	}{
		{"with customers", bothCustomers, true, "keys required"},
		{"empty list", "[]", true, "keys required"},
		{"null", "null", true, "keys required"},
		{"no list", "", false, "no keys required"},
		{"empty list after none", "[]", true, "keys required"},
	}
	for i, test := range tests {
		version := 3 + i
		f.store.Put("op/config", customersConfig(version, test.customers))
		if i == 0 {
			for _, instance := range f.instances {
				f.start(instance)
			}
			f.awaitReady(f.instances...)
		}
		f.awaitVersion(version, f.instances...)
		for _, instance := range f.instances {
			conn := dialCaller(t, instance.callerAddress)
			for _, line := range []string{bearer(firstKey), bearer(unknownKey), "X-None: 1"} {
				want := 401
				if !test.keysRequired || test.customers == bothCustomers && line == bearer(firstKey) {
					want = 200
				}
				status, body := conn.call("POST", fmt.Sprintf("/write/%d", version), line)
				require.Equal(t, want, status, "%s, %s: %s", test.name, instance.name, body)
			}
			status, body := conn.call("POST", fmt.Sprintf("/open/%d", version), bearer(unknownKey))
			require.Equal(t, 200, status, "%s, %s, public: %s", test.name, instance.name, body)
			shown, err := exec.Command(f.binary, "show", "--operator", instance.operatorAddress).CombinedOutput()
			require.NoError(t, err, string(shown))
			require.Contains(t, string(shown), test.shown)
			require.Equal(t, test.keysRequired, !strings.Contains(string(shown), "no keys required"))
		}
		for _, run := range executed(servers) {
			if strings.HasSuffix(run.URI, fmt.Sprintf("/%d", version)) && test.keysRequired {
				require.Empty(t, run.Header["Authorization"], "%s: a key reached a server", test.name)
			}
		}
	}
}

// setRevokeBounds sets the bounds on removed keys of an instance that is not started. In
// normal operation a configuration is confirmed about every second.
func (f *gatewayFleet) setRevokeBounds(instance *gatewayInstance, failClosed bool) {
	f.t.Helper()
	text, err := os.ReadFile(instance.settingsPath)
	require.NoError(f.t, err)
	bounds := fmt.Sprintf(`bounds: ["revoke_fail_closed=%t", "revoke_ms=3000", `, failClosed)
	require.NoError(f.t, os.WriteFile(instance.settingsPath, []byte(strings.Replace(string(text), "bounds: [", bounds, 1)), 0o600))
}

// TestGatewayRevokeBounds guards against an instance that is cut off from the store and all
// peers and does not do with its keys what the bounds say.
func TestGatewayRevokeBounds(t *testing.T) {
	tests := []struct {
		name       string
		failClosed bool
		status     int
	}{
		{"open", false, 200},
		{"closed", true, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGatewayFleet(t, 1)
			f.startServers("one", "i-1", "i-2")
			f.store.Put("op/config", customersConfig(3, bothCustomers))
			instance := f.instances[0]
			f.setRevokeBounds(instance, test.failClosed)
			f.start(instance)
			f.awaitReady(instance)
			conn := dialCaller(t, instance.callerAddress)
			status, body := conn.call("POST", "/write/x", bearer(firstKey))
			require.Equal(t, 200, status, body)
			f.store.Close()
			time.Sleep(4500 * time.Millisecond)
			status, body = conn.call("POST", "/write/x", bearer(firstKey))
			require.Equal(t, test.status, status, body)
			status, body = conn.call("POST", "/open/x")
			require.Equal(t, 200, status, body)
		})
	}
}

// TestGatewayConfirmedByPeer guards against an instance that refuses keys because it does
// not reach the store, although a peer confirms its configuration, and against one that
// learns of a removed key too late.
func TestGatewayConfirmedByPeer(t *testing.T) {
	f := newGatewayFleetWithStoreAddress(t, 2, func(index int, address string) string {
		if index == 1 {
			return "127.0.0.1:9" // Nothing listens on the discard port.
		}
		return address
	})
	f.startServers("one", "i-1", "i-2")
	f.store.Put("op/config", customersConfig(3, bothCustomers))
	for _, instance := range f.instances {
		f.setRevokeBounds(instance, true)
		f.start(instance)
	}
	f.awaitReady(f.instances...)
	cut := f.instances[1]
	f.awaitVersion(3, cut)
	conn := dialCaller(t, cut.callerAddress)
	time.Sleep(4500 * time.Millisecond)
	status, body := conn.call("POST", "/write/x", bearer(firstKey))
	require.Equal(t, 200, status, body)
	f.store.Put("op/config", customersConfig(4, `[{"name":"uru12","api_keys":["`+secondKey+`"]}]`))
	time.Sleep(2500 * time.Millisecond)
	status, body = conn.call("POST", "/write/x", bearer(firstKey))
	require.Equal(t, 401, status, body)
}

// TestGatewayResumedFailClosed guards against a frozen instance that, once resumed, serves a
// removed key: messages that waited for it meanwhile must not confirm its configuration. It
// also guards against a 401 for a key that was added meanwhile.
func TestGatewayResumedFailClosed(t *testing.T) {
	f := newGatewayFleet(t, 2)
	f.startServers("one", "i-1", "i-2")
	f.store.Put("op/config", customersConfig(3, bothCustomers))
	for _, instance := range f.instances {
		f.setRevokeBounds(instance, true)
		f.start(instance)
	}
	f.awaitReady(f.instances...)
	f.awaitVersion(3, f.instances...)
	frozen := f.instances[1]
	conn := dialCaller(t, frozen.callerAddress)
	status, body := conn.call("POST", "/write/x", bearer(firstKey))
	require.Equal(t, 200, status, body)
	require.NoError(t, frozen.command.Process.Signal(syscall.SIGSTOP))
	time.Sleep(500 * time.Millisecond)
	f.store.Put("op/config", customersConfig(4, `[{"name":"uru12","api_keys":["`+secondKey+`","`+unknownKey+`"]}]`))
	time.Sleep(3500 * time.Millisecond)
	var requests strings.Builder
	const pipelined = 10
	for range pipelined {
		requests.WriteString(conn.head("POST", "/write/x", bearer(firstKey)))
		requests.WriteString(conn.head("POST", "/write/x", bearer(unknownKey)))
	}
	conn.write(requests.String())
	require.NoError(t, frozen.command.Process.Signal(syscall.SIGCONT))
	for range pipelined {
		status, _, body := conn.read()
		require.Contains(t, []int{401, 503}, status, body)
		status, _, body = conn.read()
		require.Contains(t, []int{200, 503}, status, body)
	}
	require.Eventually(t, func() bool {
		status, _ := conn.call("POST", "/write/x", bearer(secondKey))
		return status == 200
	}, 5*time.Second, 50*time.Millisecond, "the instance serves valid keys again")
}
