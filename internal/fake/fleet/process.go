// Package fleet starts stand-ins and daemons as processes on the loopback
// interface, for the demo, the scenarios and the measurements.
package fleet

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// killAfter is the time that a process has to end after SIGTERM.
const killAfter = 30 * time.Second

// Process is a started program. Its output goes to a log file.
type Process struct {
	Name string
	Log  string

	command *exec.Cmd
	done    chan struct{}
	err     error
}

// startProcess starts a program whose output is appended to the file log.
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// ProcessorTime is the time that an ended process ran on a processor.
func (p *Process) ProcessorTime() time.Duration {
	select {
	case <-p.done:
		return p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
	default:
		return 0
	}
}

// Kill ends the process at once, paused or not, and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Pause stops the process from running until Resume.
func (p *Process) Pause() error {
	return p.signal(syscall.SIGSTOP)
}

// Resume lets a paused process run on.
func (p *Process) Resume() error {
	return p.signal(syscall.SIGCONT)
}

// Terminate asks for a planned stop and returns at once.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

// Stop asks for a planned stop and waits. It returns an error when the process
// does not end by itself with status 0; it is then killed.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Await(ctx)
}

// Await waits for the end of a process that was asked to stop.
func (p *Process) Await(ctx context.Context) error {
	limit := time.NewTimer(killAfter)
	defer limit.Stop()
	select {
	case <-p.done:
		return p.failure()
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

// failure is the error with which the process ended.
func (p *Process) failure() error {
	if p.err != nil {
		return errors.Wrap(p.err, p.Name)
	}
	return nil
}
