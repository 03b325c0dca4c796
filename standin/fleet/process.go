package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
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
	// done is closed when the process has ended; err is its result.
	done chan struct{}
	err  error
}

func start(logDir, name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(logDir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", name, err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The child must not outlive a runner that is killed.
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

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate asks the process to stop and waits for it; after the context's end it is killed and an error returned.
func (p *Process) Terminate(ctx context.Context) error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s ended with: %w", p.Name, p.err)
		}
		return nil
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not stop in time and was killed", p.Name)
	}
}

// freeAddresses returns loopback addresses whose ports were free a moment ago. All are held open together, so that
// they differ.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("free port: %w", err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// pollInterval is how often a condition is looked at again.
const pollInterval = 20 * time.Millisecond

// WaitFor polls a condition until it holds or the context ends.
func WaitFor(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}
