package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// started holds the fleets of this process, so that their processes end with it.
var started struct {
	sync.Mutex
	fleets []*fleet
}

// machine is one machine of the system with its process.
type machine struct {
	name, zone, ip, front, ready, directory string
	settings, storeAddress                  string
	// restarted is set once the machine has started before.
	restarted bool
	command   *exec.Cmd
	exited    chan struct{}
}

// fleet is the system with its platform.
type fleet struct {
	dir      string
	program  string
	store    *store
	machines []*machine
	basePort int
	// seeds are the machines that the settings name as seeds; the first three if it is nil.
	seeds []*machine
	// bounds and limits go into the settings.
	bounds, limits string
}

const defaultBounds = `"seed_lag_s=3", "reuse_after_s=2", "stability_window_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=6", "loss_slack_ms=200", "config_apply_ms=2000", "downgrade_slack_ms=250", "max_skew_ms=5000", "retry_budget_ratio=0.2", "retry_window_s=10", "retry_allowance=64", "recovery_s=15", "ttl_max_s=5", "probes_per_s=3", "floor_share=0.7"`

func newFleet(count int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/galenaridge")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	s, err := startStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, store: s, basePort: freePort(), bounds: defaultBounds, limits: "cpu_share: 0.32, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0"}
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%200, i+1)
		at := func(offset int) string { return fmt.Sprintf("%s:%d", ip, f.basePort+offset) }
		f.machines = append(f.machines, &machine{
			name: fmt.Sprintf("edge-%d", i), zone: fmt.Sprintf("zone-%c", 'a'+i%3), ip: ip, front: at(0), ready: at(1), directory: at(2),
			settings: filepath.Join(dir, fmt.Sprintf("settings-%d.yaml", i)),
		})
	}
	started.Lock()
	started.fleets = append(started.fleets, f)
	started.Unlock()
	return f, nil
}

// freePort returns the first of some ports that are most likely free.
func freePort() int {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 40_000
	}
	defer func() { _ = l.Close() }()
	return min(l.Addr().(*net.TCPAddr).Port, 60_000)
}

func (f *fleet) writeSettings(m *machine) error {
	seeds := ""
	named := f.seeds
	if named == nil {
		named = f.machines[:min(3, len(f.machines))]
	}
	for i, other := range named {
		if i > 0 {
			seeds += ", "
		}
		seeds += fmt.Sprintf("%q", fmt.Sprintf("%s:%d", other.ip, f.basePort+3))
	}
	storeAddress := m.storeAddress
	if storeAddress == "" {
		storeAddress = f.store.address()
	}
	text := fmt.Sprintf(`node: %q
role: "gateway"
machine_class: "edge"
serves: ["edge", "control", "directory"]
ip: %q
zone: %q
region: "r"
zones: {zone-a: "r", zone-b: "r", zone-c: "r"}
listen: {front: %q, ready: %q, control: "%s:%d", directory: %q}
internal_ports: [%d, %d]
seeds: [%s]
bootstrap: %v
limits: {%s}
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1500
bounds: [%s]
platform: {address: %q, form: "read", reads_per_s: 2000, history_s: 20, value_bytes: 1048576}
`, m.name, m.ip, m.zone, m.front, m.ready, m.ip, f.basePort+3, m.directory, f.basePort+4, f.basePort+19, seeds, !m.restarted, f.limits, f.bounds, storeAddress)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the process of a machine as the deploy file does.
func (f *fleet) start(m *machine) error {
	if err := f.writeSettings(m); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(f.program, "gateway")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "GALENARIDGE_CONFIG=" + m.settings}
	m.command.Stdout, m.command.Stderr = output, output
	if err := m.command.Start(); err != nil {
		return err
	}
	_ = output.Close()
	m.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(m.command, m.exited)
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the platform's check of a machine returns 200.
func (m *machine) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.kill()
	for _, m := range f.machines {
		if m.exited != nil {
			<-m.exited
		}
	}
	_ = os.RemoveAll(f.dir)
}

// kill kills all processes of the fleet.
func (f *fleet) kill() {
	for _, m := range f.machines {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
		}
	}
}
