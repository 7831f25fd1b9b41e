package harness_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
	"galenaridge/standin/platform"
	"galenaridge/standin/server"
)

// openFleet starts a deployment of fake instances and waits until they are ready.
func openFleet(t *testing.T, deployment harness.Deployment) (context.Context, *harness.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	f, err := harness.Open(ctx, harness.Options{
		Deployment:      deployment,
		Bin:             binDir,
		InstanceCommand: []string{os.Args[0]},
		Config:          []byte("version: 1\n"),
		Dir:             t.TempDir(),
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.WaitReady(ctx))
	return ctx, f
}

// smallDeployment returns a deployment of two failure domains with two instances
// and two servers each.
func smallDeployment() harness.Deployment {
	return harness.Deployment{
		Domains:          []fleet.Domain{"a", "b"},
		Services:         []harness.Service{{Name: "svc", Servers: 4, Slots: 2}},
		Instances:        4,
		Delay:            time.Millisecond,
		LinksPerInstance: true,
		SeparateServers:  []fleet.ServerID{"svc-2"},
		Seed:             1,
	}
}

type settings struct {
	ID       string                          `yaml:"id"`
	Platform []string                        `yaml:"platform"`
	Seeds    []fleet.Address                 `yaml:"seeds"`
	Via      map[fleet.Address]fleet.Address `yaml:"via"`
}

func readSettings(ctx context.Context, t *testing.T, f *harness.Fleet, slot harness.Slot) settings {
	t.Helper()
	text, err := f.InstanceState(ctx, slot)
	require.NoError(t, err)
	var s settings
	require.NoError(t, yaml.Unmarshal(text, &s))
	return s
}

// getsResponse reports whether a GET request receives a response within 250 ms.
func getsResponse(ctx context.Context, url string, headers ...string) bool {
	ctx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err == nil
}

// Guards against a start that is too slow for the demo, and against processes
// that still run after Close.
func TestPresetsStartFastAndEnd(t *testing.T) {
	tests := []struct {
		name       string
		deployment harness.Deployment
		servers    int
	}{
		{"kuvuka", harness.Kuvuka(9), 26},
		{"bluemahoe", harness.BlueMahoe(9), 36},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			started := time.Now()
			ctx, f := openFleet(t, test.deployment)
			assert.Less(t, time.Since(started), 3*time.Second)
			t.Logf("start took %s", time.Since(started))
			stats, err := f.ServerStats(ctx)
			require.NoError(t, err)
			assert.Len(t, stats, test.servers)
			ids := f.ProcessIDs()
			assert.Len(t, ids, 9+2+len(test.deployment.Domains))
			f.Close()
			for _, id := range ids {
				require.ErrorIs(t, syscall.Kill(id, 0), syscall.ESRCH)
			}
		})
	}
}

// Guards against processes that still run after the context is cancelled.
func TestContextEndsProcesses(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f, err := harness.Open(ctx, harness.Options{Deployment: smallDeployment(), Bin: binDir, InstanceCommand: []string{os.Args[0]}})
	require.NoError(t, err)
	ids := f.ProcessIDs()
	cancel()
	for _, id := range ids {
		require.Eventually(t, func() bool { return syscall.Kill(id, 0) != nil }, 5*time.Second, 5*time.Millisecond)
	}
	f.Close()
}

// Guards against a start without an error although a program is missing or has
// exited.
func TestOpenRefusals(t *testing.T) {
	tests := []struct {
		name    string
		options harness.Options
		failure string
	}{
		{"no domains", harness.Options{Deployment: harness.Deployment{Instances: 1}, Bin: binDir}, "failure domain"},
		{"no programs", harness.Options{Deployment: smallDeployment(), Bin: filepath.Join(binDir, "none")}, "no such file"},
		{"instance exits", harness.Options{Deployment: smallDeployment(), Bin: binDir, InstanceCommand: []string{"/bin/false"}}, "exited"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			f, err := harness.Open(ctx, test.options)
			if err == nil {
				defer f.Close()
				err = f.WaitReady(ctx)
			}
			require.ErrorContains(t, err, test.failure)
		})
	}
}

// Guards against faults that do not affect the process or the platform's listing,
// so that a proof would run without its fault.
func TestInstanceFaults(t *testing.T) {
	tests := []struct {
		name   string
		inject func(ctx context.Context, f *harness.Fleet) error
		ready  bool
		listed string
		id     fleet.InstanceID
	}{
		{"kill", func(ctx context.Context, f *harness.Fleet) error { return f.Kill(ctx, "i2") }, false, "", "i2"},
		{"stop", func(ctx context.Context, f *harness.Fleet) error { return f.Stop(ctx, "i2") }, false, "", "i2"},
		{"pause", func(_ context.Context, f *harness.Fleet) error { return f.Pause("i2") }, false, "i2", "i2"},
		{"resume", func(_ context.Context, f *harness.Fleet) error {
			if err := f.Pause("i2"); err != nil {
				return err
			}
			return f.Resume("i2")
		}, true, "i2", "i2"},
		{"restart", func(ctx context.Context, f *harness.Fleet) error { return f.Restart(ctx, "i2") }, true, "i2", "i2"},
		{"replace", func(ctx context.Context, f *harness.Fleet) error {
			_, err := f.Replace(ctx, "i2")
			return err
		}, true, "i2-2", "i2-2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, f := openFleet(t, smallDeployment())
			via := readSettings(ctx, t, f, "i1").Via
			var peer fleet.Address
			for _, listed := range readListing(ctx, t, f).Instances {
				if listed.ID == "i2" {
					peer = listed.PeerAddress
				}
			}
			require.NoError(t, test.inject(ctx, f))
			if test.ready {
				require.NoError(t, f.WaitReady(ctx))
			}
			assert.Equal(t, test.ready, getsResponse(ctx, "http://"+string(via[peer])+"/ready"))
			id, err := f.InstanceID("i2")
			require.NoError(t, err)
			assert.Equal(t, test.id, id)
			ids := []string{}
			for _, listed := range readListing(ctx, t, f).Instances {
				if listed.PeerAddress == peer {
					ids = append(ids, string(listed.ID))
				}
			}
			if test.listed == "" {
				assert.Empty(t, ids)
			} else {
				assert.Equal(t, []string{test.listed}, ids)
			}
		})
	}
}

// readListing reads the platform's listing through the link of the first instance.
func readListing(ctx context.Context, t *testing.T, f *harness.Fleet) fleet.Listing {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, readSettings(ctx, t, f, "i1").Platform[0]+"/v1/list", http.NoBody)
	require.NoError(t, err)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(request)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var list fleet.Listing
	require.NoError(t, yaml.Unmarshal(text, &list))
	return list
}

// Guards against a cut of the wrong processes or in the wrong direction. Slots i1
// and i3 are in failure domain a, i2 and i4 are in b.
func TestCuts(t *testing.T) {
	tests := []struct {
		name string
		cut  func(ctx context.Context, f *harness.Fleet) error
		// responds lists whether requests from i1 to i2, i2 to i1, i3 to i2, i1
		// to i3, i1 to svc-2 and i1 to the platform receive responses. A cut in
		// one direction holds either the request or its response.
		responds [6]bool
	}{
		{"domains, one way", func(ctx context.Context, f *harness.Fleet) error {
			return f.Cut(ctx, harness.Domain("a"), harness.Domain("b"))
		}, [6]bool{false, false, false, true, false, true}},
		{"instances, both ways", func(ctx context.Context, f *harness.Fleet) error {
			return f.CutBoth(ctx, harness.Instance("i1"), harness.Instance("i2"))
		}, [6]bool{false, false, true, true, true, true}},
		{"within a domain", func(ctx context.Context, f *harness.Fleet) error {
			return f.Cut(ctx, harness.Instance("i3"), harness.Instance("i1"))
		}, [6]bool{true, true, true, false, true, true}},
		{"from the platform", func(ctx context.Context, f *harness.Fleet) error {
			return f.Cut(ctx, harness.Platform(), harness.Domain("a"))
		}, [6]bool{true, true, true, true, true, false}},
		{"to one server", func(ctx context.Context, f *harness.Fleet) error {
			return f.Cut(ctx, harness.Domain("a"), harness.Server("svc-2"))
		}, [6]bool{true, true, true, true, false, true}},
		{"healed", func(ctx context.Context, f *harness.Fleet) error {
			if err := f.CutBoth(ctx, harness.Domain("a"), harness.Domain("b")); err != nil {
				return err
			}
			return f.HealAll(ctx)
		}, [6]bool{true, true, true, true, true, true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, f := openFleet(t, smallDeployment())
			peers := map[string]fleet.Address{}
			for _, listed := range readListing(ctx, t, f).Instances {
				peers[string(listed.ID)] = listed.PeerAddress
			}
			via := map[string]map[fleet.Address]fleet.Address{}
			for _, slot := range []harness.Slot{"i1", "i2", "i3"} {
				via[string(slot)] = readSettings(ctx, t, f, slot).Via
			}
			require.NoError(t, test.cut(ctx, f))
			var got [6]bool
			for _, s := range f.Servers() {
				if s.ID == "svc-2" {
					got[4] = getsResponse(ctx, "http://"+string(via["i1"][s.Address])+"/")
				}
			}
			got[5] = getsResponse(ctx, readSettings(ctx, t, f, "i1").Platform[0]+"/v1/list")
			for i, pair := range [][2]string{{"i1", "i2"}, {"i2", "i1"}, {"i3", "i2"}, {"i1", "i3"}} {
				got[i] = getsResponse(ctx, "http://"+string(via[pair[0]][peers[pair[1]]])+"/ready")
			}
			assert.Equal(t, test.responds, got)
		})
	}
}

// Guards against losing the runs of a killed server, which would hide a request
// that ran twice.
func TestServerFaults(t *testing.T) {
	tests := []struct {
		name     string
		inject   func(ctx context.Context, f *harness.Fleet) error
		responds bool
	}{
		{"none", func(context.Context, *harness.Fleet) error { return nil }, true},
		{"kill", func(ctx context.Context, f *harness.Fleet) error { return f.KillServer(ctx, "svc-2") }, false},
		{"restart", func(ctx context.Context, f *harness.Fleet) error {
			if err := f.KillServer(ctx, "svc-2"); err != nil {
				return err
			}
			return f.RestartServer(ctx, "svc-2")
		}, true},
		{"stall", func(ctx context.Context, f *harness.Fleet) error {
			return f.SetServerFault(ctx, "svc-2", server.Fault{Kind: server.FaultStall})
		}, false},
		{"drain", func(ctx context.Context, f *harness.Fleet) error { return f.DrainServer(ctx, "svc-2") }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, f := openFleet(t, smallDeployment())
			url := ""
			for _, s := range f.Servers() {
				if s.ID == "svc-2" {
					url = "http://" + string(readSettings(ctx, t, f, "i1").Via[s.Address]) + "/"
				}
			}
			require.True(t, getsResponse(ctx, url, server.HeaderKey, "k1"))
			require.NoError(t, test.inject(ctx, f))
			assert.Equal(t, test.responds, getsResponse(ctx, url, server.HeaderKey, "k2"))
			keys, err := f.KeyRunCounts(ctx)
			require.NoError(t, err)
			assert.Equal(t, 1, keys["k1"])
		})
	}
}

// Guards against a fault of the platform that does not affect its readers.
func TestPlatformFaults(t *testing.T) {
	tests := []struct {
		name     string
		fault    platform.Fault
		revision int
	}{
		{"up", platform.Fault{}, 2},
		{"down", platform.Fault{Mode: platform.Down}, 0},
		{"older", platform.Fault{ConfigRevision: 1}, 1},
	}
	ctx, f := openFleet(t, smallDeployment())
	require.NoError(t, f.PublishConfig(ctx, []byte("version: 2\n")))
	url := readSettings(ctx, t, f, "i1").Platform[0] + "/v1/config"
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.NoError(t, f.SetPlatformFault(ctx, test.fault))
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
			require.NoError(t, err)
			revision := 0
			if resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request); err == nil {
				revision, _ = strconv.Atoi(resp.Header.Get(platform.HeaderRevision))
				_ = resp.Body.Close()
			}
			assert.Equal(t, test.revision, revision)
		})
	}
}
