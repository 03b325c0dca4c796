package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"teaselbank.example/teaselbank/platform"
	"teaselbank.example/teaselbank/platform/platformtest"
)

// stopTimeoutSeconds is the time from SIGTERM to the kill, as stated in the settings.
const stopTimeoutSeconds = 6

// Ports of a VM on its own loopback address.
const (
	frontPort   = 7080
	readyPort   = 7081
	controlPort = 7082
)

// vm is a simulated VM: a loopback address on which one daemon process runs at a time.
type vm struct {
	// ctx kills the processes when the run is cancelled.
	ctx      context.Context //nolint:containedctx // lives as long as the run
	index    int
	ip, zone string
	dir      string
	binary   string
	store    *proxy
	record   *record

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// stopRequested reports that the current process got SIGTERM or SIGKILL.
	stopRequested bool
	// incarnation counts the starts; its value identifies the current process.
	incarnation atomic.Int64
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

func (v *vm) frontAddress() string { return v.address(frontPort) }

// writeSettings writes the settings file with the given seed peers.
func (v *vm) writeSettings(zones, seeds []string) error {
	text := platformtest.Settings(platformtest.SettingsOptions{Name: fmt.Sprintf("vm-%d", v.index), IP: v.ip, Zone: v.zone,
		Zones: zones, Seeds: seeds, Front: v.frontAddress(), Readiness: v.address(readyPort), Control: v.address(controlPort),
		Store: v.store.Address, StopSeconds: stopTimeoutSeconds})
	return os.WriteFile(v.settingsPath(), []byte(text), 0o600)
}

func (v *vm) settingsPath() string { return filepath.Join(v.dir, fmt.Sprintf("vm-%d.toml", v.index)) }

func (v *vm) logPath() string { return filepath.Join(v.dir, fmt.Sprintf("vm-%d.log", v.index)) }

// start starts the daemon. The caller must make sure that the previous process has exited.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	log, err := os.OpenFile(v.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(v.ctx, v.binary) //nolint:gosec // the binary under test
	cmd.Env = append(os.Environ(), platform.SettingsFileEnv+"="+v.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	v.process, v.exited, v.stopRequested = cmd, exited, false
	incarnation := v.incarnation.Add(1)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		v.mu.Lock()
		requested := v.stopRequested
		v.mu.Unlock()
		switch {
		case !requested:
			v.record.addViolation(fmt.Sprintf("EXIT: vm-%d exited without a stop request in incarnation %d: %v", v.index, incarnation, err))
		case err != nil && cmd.ProcessState.ExitCode() >= 0:
			v.record.addViolation(fmt.Sprintf("EXIT: vm-%d exited with %v after SIGTERM in incarnation %d", v.index, err, incarnation))
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process started last, if it is still running.
func (v *vm) signal(s syscall.Signal) { v.signalIncarnation(v.incarnation.Load(), s) }

// signalIncarnation sends a signal to the process of that incarnation, if it is still running.
func (v *vm) signalIncarnation(incarnation int64, s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.incarnation.Load() != incarnation {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		v.stopRequested = true
	}
	select {
	case <-v.exited:
	default:
		_ = v.process.Process.Signal(s)
	}
}

// ended returns a channel that is closed when the process started last has exited.
func (v *vm) ended() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exited
}

// stop sends SIGTERM and waits for the exit; killed reports that the process was killed after the stop timeout of the
// settings plus grace. SIGCONT resumes a paused process so that it can handle SIGTERM.
func (v *vm) stop(grace time.Duration) (killed bool) {
	v.signal(syscall.SIGTERM)
	v.signal(syscall.SIGCONT)
	select {
	case <-v.ended():
		return false
	case <-time.After(stopTimeoutSeconds*time.Second + grace):
		v.kill()
		return true
	}
}

// kill sends SIGKILL and waits for the exit.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	<-v.ended()
}

// ready reports whether the readiness endpoint answers 200.
func (v *vm) ready(c *http.Client) bool {
	resp, err := c.Get("http://" + v.address(readyPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
