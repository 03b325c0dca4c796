// Command teaselbankd is the daemon that runs on each entry VM.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"teaselbank.example/teaselbank/kernel"
	_ "teaselbank.example/teaselbank/plugin/all"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/version"
)

// Exit codes.
const (
	exitFailure     = 1
	exitBadSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	s, err := settings.Parse(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(help.Message)
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	if s.Version {
		fmt.Println("teaselbankd", version.Version)
		return 0
	}
	app := kernel.New(s)
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	app.Run()
	return 0
}
