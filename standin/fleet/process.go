package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one started program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	// done is closed when the process has exited; err, valid from then on, is the error of the exit or of
	// closing the log.
	done chan struct{}
	err  error
}

// startProcess starts a program whose output goes to the file name.log in logDir.
func startProcess(logDir, name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(logDir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log file of %s: %w", name, err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The child must not outlive its parent, even if the parent is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	p := &Process{Name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		p.err = errors.Join(cmd.Wait(), log.Close())
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate sends SIGTERM to the process and waits until it has exited. If the context ends first, the process is
// killed and an error returned. An error is also returned if the process exits with an error, unless it had exited
// before the call.
func (p *Process) Terminate(ctx context.Context) error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("send SIGTERM to %s: %w", p.Name, err)
	}
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s exited with an error: %w", p.Name, p.err)
		}
		return nil
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not exit in time after SIGTERM and was killed", p.Name)
	}
}

// pollInterval is the time between two evaluations of a condition by WaitFor.
const pollInterval = 20 * time.Millisecond

// waitRunning polls a condition until it holds, as WaitFor does. It returns an error at once if one of the processes
// has exited; the error holds the last lines of that process's log.
func waitRunning(ctx context.Context, what string, processes []*Process, condition func() bool) error {
	var exited *Process
	err := WaitFor(ctx, what, func() bool {
		for _, p := range processes {
			if !p.Running() {
				exited = p
				return true
			}
		}
		return condition()
	})
	if exited != nil {
		return fmt.Errorf("wait for %s: %s exited (%w); end of its log:\n%s", what, exited.Name, exited.exitError(), exited.logTail())
	}
	return err
}

var errCleanExit = errors.New("exit status 0")

// exitError returns why the process exited. It must be called after the exit only.
func (p *Process) exitError() error {
	if p.err == nil {
		return errCleanExit
	}
	return p.err
}

// logTailBytes is how much of a log an error quotes.
const logTailBytes = 1 << 10

// logTail returns the end of the log of the process.
func (p *Process) logTail() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return fmt.Sprintf("log not readable: %v", err)
	}
	return string(data[max(0, len(data)-logTailBytes):])
}

// WaitFor polls a condition until it holds. If the context ends first, it returns an error that names the condition by
// what.
func WaitFor(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}
