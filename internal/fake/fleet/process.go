// Package fleet runs stand-ins and daemons as processes on the loopback interface for
// the demo, the scenarios and the measurements.
package fleet

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// stopTimeout is the time after SIGTERM at which a process is killed.
const stopTimeout = 30 * time.Second

// pauseTimeout is the time within which a process stops after SIGSTOP.
const pauseTimeout = 5 * time.Second

// Process is a started program. Its output is appended to the file Log.
type Process struct {
	Name string
	Log  string

	command *exec.Cmd
	done    chan struct{}
	err     error
}

// startProcess starts a binary whose output is appended to the file log.
func startProcess(name, log, binary string, args ...string) (*Process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer file.Close()
	command := exec.Command(binary, args...)
	command.Stdout = file
	command.Stderr = file
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, Log: log, command: command, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// CPUTime returns the CPU time of an ended process, and 0 for a running one.
func (p *Process) CPUTime() time.Duration {
	select {
	case <-p.done:
		return p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
	default:
		return 0
	}
}

// Kill kills the process, paused or not, and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Pause suspends the process until Resume, and returns when all of its threads have stopped: on a busy machine they
// run on for a while after the signal. After an error the process is not suspended.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(pauseTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		var info unix.Siginfo
		err := unix.Waitid(unix.P_PID, p.PID(), &info, unix.WSTOPPED|unix.WNOHANG|unix.WNOWAIT, nil)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return errors.Wrapf(err, "wait until %s has stopped", p.Name)
		}
		if info.Signo != 0 {
			return nil
		}
	}
	if err := p.Resume(); err != nil {
		return err
	}
	return errors.Errorf("%s did not stop in time", p.Name)
}

// Resume continues a paused process.
func (p *Process) Resume() error {
	return p.signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM, which starts a planned stop, and does not wait.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

// Stop sends SIGTERM and waits for the end of the process as Await does.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Await(ctx)
}

// Await waits for the end of a process after Terminate, and kills it when ctx ends or
// after stopTimeout. It returns an error when the process was killed or ended with
// a status other than 0.
func (p *Process) Await(ctx context.Context) error {
	limit := time.NewTimer(stopTimeout)
	defer limit.Stop()
	select {
	case <-p.done:
		return p.exitError()
	case <-ctx.Done():
	case <-limit.C:
	}
	p.Kill()
	return errors.Errorf("%s did not stop and was killed", p.Name)
}

// signal sends a signal to the process.
func (p *Process) signal(signal syscall.Signal) error {
	if err := p.command.Process.Signal(signal); err != nil {
		return errors.Wrapf(err, "send %s to %s", signal, p.Name)
	}
	return nil
}

// exitError returns the error of an ended process, nil after status 0.
func (p *Process) exitError() error {
	if p.err != nil {
		return errors.Wrap(p.err, p.Name)
	}
	return nil
}
