// Command harness plays the cases of the review. It starts the daemon as separate processes on loopback addresses, with
// stand-ins of the store, the leafs and the clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken says that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// play is what a case gets.
type play struct {
	rec     *Record
	root    string
	trouble bool
}

// cases holds the cases by name; each registers itself.
var cases = map[string]func(p *play) error{}

// main exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE REVIEW-FOLDER/N/record.txt")
		os.Exit(2)
	}
	path, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](&play{rec: rec, root: filepath.Dir(filepath.Dir(filepath.Dir(path))), trouble: os.Getenv("TROUBLE") != "0"})
	code := 0
	switch {
	case errors.Is(err, errBroken):
		code = 1
	case err != nil:
		code = 2
	}
	if err != nil {
		rec.Say("%v", err)
	} else {
		rec.Say("the rule held")
	}
	rec.Close()
	os.Exit(code)
}
