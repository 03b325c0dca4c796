// Command teaselbankd is the daemon that runs on each entry VM, accepts callers' requests and sends them to targets.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/platform"
	_ "teaselbank.example/teaselbank/plugin/all"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/version"
)

// Exit codes. exitFailure means that the start failed, or that the stop failed or cut off requests.
const (
	exitFailure     = 1
	exitBadSettings = 2
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	os.Exit(run(os.Args[1:], signals, os.Stderr))
}

// run runs the daemon and returns its exit code. Without arguments, and with the platform's settings file named in the
// environment, it runs on the deployment that the file describes.
func run(args []string, signals <-chan os.Signal, stderr io.Writer) int {
	if path, ok := platform.SettingsFile(); ok && len(args) == 0 {
		return runSite(path, signals, stderr)
	}
	s, err := settings.Parse(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(help.Message)
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitBadSettings
	}
	if s.Version {
		fmt.Println("teaselbankd", version.Version)
		return 0
	}
	var state *lifecycle.State
	if err := serve(kernel.New(s, fx.Populate(&state)), &state, signals); err != nil {
		_, _ = fmt.Fprintln(stderr, "teaselbankd:", err)
		return exitFailure
	}
	return 0
}

// serve starts the app, waits for the first signal and stops the app, which drains it; a second signal ends the drain
// at once. Assembling the app sets *state, unless app.Err reports an error.
func serve(app *fx.App, state **lifecycle.State, signals <-chan os.Signal) error {
	if err := app.Err(); err != nil {
		return fmt.Errorf("assemble the daemon: %w", err)
	}
	start, cancelStart := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancelStart()
	if err := app.Start(start); err != nil {
		return fmt.Errorf("start the daemon: %w", err)
	}
	<-signals
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		select {
		case <-signals:
			(*state).ForceStop()
		case <-stopped:
		}
	}()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		return fmt.Errorf("stop the daemon: %w", err)
	}
	return nil
}
