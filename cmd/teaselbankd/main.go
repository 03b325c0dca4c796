// Command teaselbankd is the daemon that runs on each entry VM.
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

// Exit codes. exitFailure stands for a failed start and for a stop that cut off requests.
const (
	exitFailure     = 1
	exitBadSettings = 2
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	os.Exit(run(os.Args[1:], signals, os.Stderr))
}

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

// serve runs the daemon until the first signal and drains it; a second signal ends the drain at once. The app fills in
// the state.
func serve(app *fx.App, state **lifecycle.State, signals <-chan os.Signal) error {
	if err := app.Err(); err != nil {
		return fmt.Errorf("assemble: %w", err)
	}
	start, cancelStart := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancelStart()
	if err := app.Start(start); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-signals
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		select {
		case <-signals:
			(*state).Hurry()
		case <-stopped:
		}
	}()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}
