// Package cli is the operators' command-line tool. It makes, reviews and signs bundles, and reads the state of VMs.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"teaselbank.example/teaselbank/version"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	// ExitRefused says that a document or a request is not valid, or not signed as it must be.
	ExitRefused = 3
)

const longHelp = `Makes, reviews and signs configuration bundles and reads the state of VMs.

There is no "bundle publish": no part of the system writes to the platform. Publish a signed bundle with the
platform's own tools, under its own permissions.

Exit codes: 0 success, 1 failure, 2 wrong usage, 3 refused or not valid.`

// env is what every command shares.
type env struct {
	ctx    context.Context
	in     io.Reader
	out    io.Writer
	global *globalOptions
}

type globalOptions struct {
	Output  string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result on standard output"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// usageError is a fault of the command line that go-flags does not find.
type usageError struct{ reason string }

// Error returns the reason.
func (e *usageError) Error() string { return e.reason }

// refusal names what was refused, and why.
type refusal struct {
	file   string
	reason error
}

// Error returns file, field and reason.
func (e *refusal) Error() string { return e.file + ": " + e.reason.Error() }

// Unwrap returns the reason.
func (e *refusal) Unwrap() error { return e.reason }

// Run executes one command line and returns the exit code. Results go to out, faults to errOut.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	e := &env{ctx: ctx, in: in, out: out, global: &globalOptions{}}
	parser := flags.NewNamedParser("teaselbank", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longHelp
	if err := addCommands(parser, e); err != nil {
		_, _ = fmt.Fprintln(errOut, "teaselbank:", err)
		return ExitFailure
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		switch {
		case e.global.Version:
			return e.result(map[string]string{"version": version.Version}, "teaselbank "+version.Version)
		case command == nil:
			return &usageError{"a command is required; see --help"}
		case len(rest) > 0:
			return &usageError{fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		return command.Execute(rest)
	}
	parser.SubcommandsOptional = true
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errOut)
}

func addCommands(parser *flags.Parser, e *env) error {
	if _, err := parser.AddGroup("Global options", "", e.global); err != nil {
		return err
	}
	bundles, err := parser.AddCommand("bundle", "make, review and sign bundles", longHelp, &struct{}{})
	if err != nil {
		return err
	}
	bundles.SubcommandsOptional = true
	for _, c := range []struct {
		parent      *flags.Command
		name, short string
		data        any
	}{
		{bundles, "keygen", "make a signer's key pair", &keygen{env: e}},
		{bundles, "keyring", "make a root keyring, or make and sign a rotation to the next one", &keyring{env: e}},
		{bundles, "create", "write a draft to edit", &create{env: e}},
		{bundles, "validate", "check the content of a draft or of a signed bundle", &validate{env: e}},
		{bundles, "sign", "add one signer's signature to a draft or to a signed bundle", &sign{env: e}},
		{bundles, "verify", "check a signed bundle against a root keyring, as every VM does", &verify{env: e}},
		{bundles, "diff", "say what changes from one bundle to another", &diff{env: e}},
		{bundles, "explain", "say what a bundle means", &explain{env: e}},
		{parser.Command, "status", "show the version in force, peers and targets on VMs", &status{env: e}},
		{parser.Command, "explain", "say why a target or zone gets no new work, as one VM sees it", &explainWork{env: e}},
		{parser.Command, "search", "send one search to a VM", &search{env: e}},
		{parser.Command, "explain-request", "tell from log lines what became of a request", &explainRequest{env: e}},
	} {
		if _, err := c.parent.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

func exitCode(err error, out, errOut io.Writer) int {
	var usage *flags.Error
	var wrong *usageError
	var refused *refusal
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, usage.Message)
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &wrong):
		_, _ = fmt.Fprintln(errOut, "teaselbank:", err)
		return ExitUsage
	case errors.As(err, &refused):
		_, _ = fmt.Fprintln(errOut, "teaselbank:", err)
		return ExitRefused
	}
	_, _ = fmt.Fprintln(errOut, "teaselbank:", err)
	return ExitFailure
}

// result writes the result in the form that was asked for.
func (e *env) result(value any, lines ...string) error {
	if e.global.Output == "json" {
		encoder := json.NewEncoder(e.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(e.out, line); err != nil {
			return err
		}
	}
	return nil
}
