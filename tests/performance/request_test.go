package performance

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"galenaridge/core/fleet"
	"galenaridge/io/process"
	"galenaridge/io/setting"
	"galenaridge/standin/harness"
	"galenaridge/standin/platform"
	"galenaridge/standin/synthetic"
)

// serverCount is the number of servers of the only service.
const serverCount = 20

// BenchmarkRequest measures a request through one instance that owns all servers,
// and the same request sent directly to a server. Client, instance and servers
// run in the same process, so the difference is the cost of the instance.
func BenchmarkRequest(b *testing.B) {
	servers, callerAddress := startFleet(b)
	tests := []struct {
		name, method, url string
	}{
		{"direct", fasthttp.MethodGet, "http://" + string(servers[0]) + "/items"},
		{"read", fasthttp.MethodGet, "http://" + callerAddress + "/service-1/items"},
		{"protected", fasthttp.MethodPost, "http://" + callerAddress + "/service-1/items"},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			client := &fasthttp.Client{MaxConnsPerHost: 1024, MaxIdemponentCallAttempts: 1}
			defer client.CloseIdleConnections()
			require.Eventually(b, func() bool { return sendRequest(client, tt.method, tt.url) == fasthttp.StatusOK }, 10*time.Second, 50*time.Millisecond)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if status := sendRequest(client, tt.method, tt.url); status != fasthttp.StatusOK {
						b.Errorf("status %d", status)
						return
					}
				}
			})
		})
	}
}

// sendRequest sends a request and returns its status, or 0 after a failure.
func sendRequest(client *fasthttp.Client, method, url string) int {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(url)
	if err := client.Do(request, response); err != nil {
		return 0
	}
	return response.StatusCode()
}

// startFleet starts servers, a stand-in platform and an instance. It returns the
// addresses of the servers and the caller address of the instance.
func startFleet(b *testing.B) (servers []fleet.Address, callerAddress string) {
	shape := synthetic.Shape{Instances: 1, Servers: serverCount, Slots: 8}
	listing := fleet.Listing{}
	for n := range serverCount {
		address := startServer(b)
		servers = append(servers, address)
		listing.Servers = append(listing.Servers, fleet.ListedServer{
			ID: harness.ServerName(synthetic.ServiceName(1), n+1), Service: synthetic.ServiceName(1), Domain: "domain-1", Address: address,
		})
	}
	clock := clockwork.NewRealClock()
	standin, err := platform.Start(platform.Options{ReaderAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0"}, clock)
	require.NoError(b, err)
	b.Cleanup(standin.Close)
	config, err := shape.Config(1)
	require.NoError(b, err)
	putDocument(b, standin, "/v1/config", config)
	self := fleet.ListedInstance{ID: "i1", Domain: "domain-1", CallerAddress: unusedAddress(b), PeerAddress: unusedAddress(b)}
	listing.Instances = append(listing.Instances, self)
	encoded, err := json.Marshal(listing)
	require.NoError(b, err)
	putDocument(b, standin, "/v1/list", encoded)
	startInstance(b, standin, self)
	return servers, string(self.CallerAddress)
}

func unusedAddress(b *testing.B) fleet.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { require.NoError(b, listener.Close()) }()
	return fleet.Address(listener.Addr().String())
}

func startServer(b *testing.B) fleet.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	body := make([]byte, 512)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Upstream-Load", "1")
		ctx.SetBody(body)
	}}
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	b.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return fleet.Address(listener.Addr().String())
}

func putDocument(b *testing.B, standin *platform.Platform, path string, body []byte) {
	request, err := http.NewRequest(http.MethodPut, "http://"+string(standin.OperatorAddress())+path, bytes.NewReader(body))
	require.NoError(b, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(b, err)
	require.NoError(b, response.Body.Close())
	require.Equal(b, 2, response.StatusCode/100)
}

func startInstance(b *testing.B, standin *platform.Platform, self fleet.ListedInstance) {
	settings, err := setting.Load(setting.Source{Flags: map[string]string{
		"id": string(self.ID), "domain": string(self.Domain), "platform": "http://" + string(standin.ReaderAddress()),
		"listen-caller": string(self.CallerAddress), "listen-peer": string(self.PeerAddress), "listen-operator": "127.0.0.1:0",
		"drain": "1ms",
	}})
	require.NoError(b, err)
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(logrus.ErrorLevel)
	instance, err := process.New(process.Options{Settings: settings, Clock: clockwork.NewRealClock(), Log: log, Release: "benchmark"})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() {
		if err := instance.Run(ctx); err != nil {
			b.Error(err)
		}
	})
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
}
