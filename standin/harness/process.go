package harness

import (
	"errors"
	"os"
	"os/exec"
	"runtime"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// process is one child process.
type process struct {
	name    string
	logFile string
	command *exec.Cmd
	// ended is closed when the process has exited; failure is set before.
	ended   chan struct{}
	failure error
}

// starter starts processes. The kernel ends a child when the thread that
// started it ends, so one goroutine that keeps its thread starts them all.
type starter struct {
	requests chan startRequest
	waiting  conc.WaitGroup
}

type startRequest struct {
	command *exec.Cmd
	started chan<- error
}

func newStarter() *starter {
	s := &starter{requests: make(chan startRequest)}
	s.waiting.Go(func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for r := range s.requests {
			r.started <- r.command.Start()
		}
	})
	return s
}

// start runs a program with its output in the log file. Output is appended, so
// that the log of a slot holds all its processes.
func (s *starter) start(name, logFile string, argv ...string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open a log file")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(argv[0], argv[1:]...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	s.requests <- startRequest{command, started}
	if err := <-started; err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	p := &process{name: name, logFile: logFile, command: command, ended: make(chan struct{})}
	s.waiting.Go(func() {
		p.failure = command.Wait()
		close(p.ended)
	})
	return p, nil
}

// stop ends the goroutines of the starter after all processes have ended.
func (s *starter) stop() {
	close(s.requests)
	s.waiting.Wait()
}

// signal sends a signal to a process that has not exited.
func (p *process) signal(sig os.Signal) error {
	err := p.command.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return eris.Wrap(errNotRunning, p.name)
	}
	return eris.Wrapf(err, "signal %s", p.name)
}

// kill ends a process, if it runs, and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
