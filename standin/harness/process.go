package harness

import (
	"errors"
	"os"
	"os/exec"
	"runtime"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// process is one child process.
type process struct {
	name    string
	logFile string
	command *exec.Cmd
	// exited is closed after the process has exited and exitError is set.
	exited    chan struct{}
	exitError error
}

// starter starts child processes from a single goroutine that is locked to its
// thread, since the kernel kills a child when the thread that started it ends.
type starter struct {
	requests   chan startRequest
	goroutines conc.WaitGroup
}

type startRequest struct {
	command *exec.Cmd
	started chan<- error
}

func newStarter() *starter {
	s := &starter{requests: make(chan startRequest)}
	s.goroutines.Go(func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for r := range s.requests {
			r.started <- r.command.Start()
		}
	})
	return s
}

// start starts a program and appends its output to the log file, so that the log
// of a slot covers all its processes.
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
	p := &process{name: name, logFile: logFile, command: command, exited: make(chan struct{})}
	s.goroutines.Go(func() {
		p.exitError = command.Wait()
		close(p.exited)
	})
	return p, nil
}

// stop ends the goroutines of the starter. It waits until all processes have
// exited.
func (s *starter) stop() {
	close(s.requests)
	s.goroutines.Wait()
}

// signal sends a signal to the process. It fails if the process has exited.
func (p *process) signal(sig os.Signal) error {
	err := p.command.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return eris.Wrap(errNotRunning, p.name)
	}
	return eris.Wrapf(err, "signal %s", p.name)
}

// childStopped is CLD_STOPPED, the code of a child that a signal has stopped.
const childStopped = 5

// pause sends SIGSTOP and waits until all threads of the process have stopped, which takes a
// while on a busy machine. It fails if the process exits.
func (p *process) pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// WNOWAIT leaves the state to os/exec.
	const states = unix.WSTOPPED | unix.WEXITED | unix.WNOWAIT
	for {
		var status unix.Siginfo
		err := unix.Waitid(unix.P_PID, p.command.Process.Pid, &status, states, nil)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.ECHILD) || err == nil && status.Code != childStopped:
			return eris.Wrap(errNotRunning, p.name)
		default:
			return eris.Wrapf(err, "wait until %s has stopped", p.name)
		}
	}
}

// kill sends SIGKILL to the process if it runs, and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}
