// Package cli implements the operators' command-line tool. It creates, reviews and signs configuration bundles, and
// queries VMs for their state.
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

// Exit codes of Run.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	// ExitRefused means that an input is not valid or not signed as required, or names something unknown.
	ExitRefused = 3
)

const longHelp = `Creates, reviews and signs configuration bundles and shows the state of VMs.

There is no "bundle publish": no part of this system writes to the platform. Publish a signed bundle with the
platform's own tools and under the platform's permissions.

Exit codes: 0 success, 1 failure, 2 usage error, 3 input not valid, not signed as required, or unknown.`

// env holds what all commands share: the context, input, output and global options.
type env struct {
	ctx    context.Context
	in     io.Reader
	out    io.Writer
	global *globalOptions
}

type globalOptions struct {
	Output  string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the result on standard output"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// usageError is an error in the command line that go-flags does not detect.
type usageError struct{ reason string }

// Error returns the reason.
func (e *usageError) Error() string { return e.reason }

// refusedError reports why an input or a request was refused. Run returns ExitRefused for it.
type refusedError struct {
	// subject is the file, the base URL of the VM or the request ID that the reason is about.
	subject string
	reason  error
}

// Error returns the subject and the reason, which names the field if there is one.
func (e *refusedError) Error() string { return e.subject + ": " + e.reason.Error() }

// Unwrap returns the reason.
func (e *refusedError) Unwrap() error { return e.reason }

// Run executes one command line and returns the exit code. Results are written to out, errors to errOut.
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
	bundleCommand, err := parser.AddCommand("bundle", "create, review and sign bundles", longHelp, &struct{}{})
	if err != nil {
		return err
	}
	bundleCommand.SubcommandsOptional = true
	for _, c := range []struct {
		parent      *flags.Command
		name, short string
		data        any
	}{
		{bundleCommand, "keygen", "generate a signer's key pair", &keygen{env: e}},
		{bundleCommand, "keyring", "create a root keyring, or create and sign a rotation to the next keyring", &keyring{env: e}},
		{bundleCommand, "create", "write a draft bundle for editing", &create{env: e}},
		{bundleCommand, "validate", "check the content of a draft or signed bundle", &validate{env: e}},
		{bundleCommand, "sign", "add one signer's signature to a draft or signed bundle", &sign{env: e}},
		{bundleCommand, "verify", "verify a signed bundle against a root keyring, as every VM does", &verify{env: e}},
		{bundleCommand, "diff", "list the changes from one bundle to another", &diff{env: e}},
		{bundleCommand, "explain", "describe what a bundle configures", &explainBundle{env: e}},
		{parser.Command, "status", "show the configuration version in force, the peers and the targets of VMs", &status{env: e}},
		{parser.Command, "explain", "show why a VM sends no new work to a target or availability zone", &explainTarget{env: e}},
		{parser.Command, "search", "send one search to a VM", &search{env: e}},
		{parser.Command, "experiment", "emulate a fleet under several loads, with and without coordinators", &experiment{env: e}},
		{parser.Command, "explain-request", "show the log lines of one request and the events around it", &explainRequest{env: e}},
	} {
		if _, err := c.parent.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

// exitCode returns the exit code for err. It writes an error to errOut, and help that was requested to out.
func exitCode(err error, out, errOut io.Writer) int {
	var flagsErr *flags.Error
	var usageErr *usageError
	var refusedErr *refusedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, flagsErr.Message)
		return ExitOK
	case errors.As(err, &flagsErr), errors.As(err, &usageErr):
		_, _ = fmt.Fprintln(errOut, "teaselbank:", err)
		return ExitUsage
	case errors.As(err, &refusedErr):
		_, _ = fmt.Fprintln(errOut, "teaselbank:", err)
		return ExitRefused
	}
	_, _ = fmt.Fprintln(errOut, "teaselbank:", err)
	return ExitFailure
}

// result writes value as JSON or lines as text, depending on the --output flag.
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
