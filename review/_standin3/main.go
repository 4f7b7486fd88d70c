// Command standin3 plays the cases of the third review: it starts the project's nodes as separate processes, with stand-ins
// for the store, the instances and the clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(rec *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(failed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	rec := &record{file: file, start: time.Now()}
	status, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("the case could not run: %v", err)
		status = failed
	}
	rec.log("exit status %d", status)
	_ = file.Close()
	os.Exit(status)
}
