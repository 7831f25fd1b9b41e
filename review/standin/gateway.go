package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is one instance, which runs as a process of its own with the command of the
// deploy file.
type gateway struct {
	name, ip     string
	basePort     int
	settingsPath string
	logPath      string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// state says how the last process ended.
	state string
}

func (g *gateway) at(offset int) string { return fmt.Sprintf("%s:%d", g.ip, g.basePort+offset) }

func (g *gateway) front() string     { return g.at(0) }
func (g *gateway) ready() string     { return g.at(1) }
func (g *gateway) directory() string { return g.at(2) }
func (g *gateway) control() string   { return g.at(3) }
func (g *gateway) operator() string  { return g.at(5) }

// freeBasePort returns a port that is free together with the next seven, on the first
// machines. It is below the ports that the system gives to connections.
func freeBasePort() (int, error) {
	for range 200 {
		base := 12_000 + 8*rand.IntN(2000)
		if portsAreFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsAreFree(base int) bool {
	for machine := range 3 {
		for offset := range 8 {
			l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.%d:%d", machine+1, base+offset))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// writeSettings writes the settings file of an instance, which is in the first zone.
func (g *gateway) writeSettings(d deployment, dir string, seeds []string, storeAddress string) error {
	g.settingsPath = filepath.Join(dir, g.name+".yaml")
	g.logPath = filepath.Join(dir, g.name+".log")
	zones := d.zones[0] + `: "` + d.region + `", ` + d.zones[1] + `: "` + d.region + `", ` + d.zones[2] + `: "` + d.region + `"`
	text := fmt.Sprintf(`node: %q
role: "gateway"
machine_class: "edge"
serves: ["edge", "directory", "control"]
ip: %q
zone: %q
region: %q
zones: {%s}
listen: {front: %q, ready: %q, control: %q, directory: %q}
internal_ports: [%d, %d]
seeds: ["%s"]
bootstrap: false
fault_counted: false
limits: {cpu_share: 0.32, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1500
bounds: ["seed_lag_s=3", "reuse_after_s=2", "stability_window_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=6", "loss_slack_ms=200", "config_apply_ms=2000", "downgrade_slack_ms=250", "max_skew_ms=5000", "retry_budget_ratio=0.2", "retry_window_s=10", "retry_allowance=%d", "recovery_s=15", "ttl_max_s=5", "probes_per_s=3", "floor_share=0.7"]
platform: {address: %q, form: "read", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, g.name, g.ip, d.zones[0], d.region, zones, g.front(), g.ready(), g.control(), g.directory(), g.basePort+4, g.basePort+7, strings.Join(seeds, `", "`), d.retryAllowance, storeAddress)
	return os.WriteFile(g.settingsPath, []byte(text), 0o600)
}

// start starts the process. With maxDescriptors it gets no more file descriptors.
func (g *gateway) start(binary string, maxDescriptors int) error {
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(binary, "gateway")
	if maxDescriptors > 0 {
		command = exec.Command("/bin/sh", "-c", `ulimit -n `+strconv.Itoa(maxDescriptors)+` && exec "$0" gateway`, binary)
	}
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GALENARIDGE_CONFIG=" + g.settingsPath}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	started.add(command.Process)
	ended := make(chan struct{})
	g.mu.Lock()
	g.command, g.ended = command, ended
	g.mu.Unlock()
	go func() {
		_ = command.Wait()
		started.remove(command.Process)
		g.mu.Lock()
		g.state = command.ProcessState.String()
		g.mu.Unlock()
		close(ended)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// awaitEnd waits for the end of the process.
func (g *gateway) awaitEnd(limit time.Duration) bool {
	select {
	case <-g.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// isReady asks for readiness, like the platform.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready() + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}

// kill ends the process if it runs.
func (g *gateway) kill() {
	if g.command != nil {
		_ = g.command.Process.Kill()
		<-g.ended
	}
}

// processes are the processes that run.
type processes struct {
	mu      sync.Mutex
	running map[*os.Process]bool
}

// started holds the processes that the case has started.
var started = processes{running: make(map[*os.Process]bool)}

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[process] = true
}

func (p *processes) remove(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, process)
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for process := range p.running {
		_ = process.Kill()
	}
}
