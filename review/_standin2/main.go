// Command review-2 plays the scripted cases of the second review. It starts the nodes of the deploy file as processes on
// loopback addresses, with small stand-ins for the platform's store, the instances and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case in the world and judges it. trouble is false if the disruption is left out.
type scenario func(w *world, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"forged-beat": forgedBeat,
	"late-beat":   lateBeat,
	"resend":      resend,
	"clock-back":  clockBack,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

// run plays the scenario in a temporary folder and returns the exit code.
func run(play scenario, record string) int {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	w := &world{folder: folder, file: file, began: time.Now()}
	w.note("trouble: %t", trouble)
	broken, err := play(w, trouble)
	w.close()
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken:
		w.note("result: the rule was broken")
		return exitBroken
	default:
		w.note("result: the rule held")
		return exitHeld
	}
}

var errNotReady = errors.New("a node did not become ready")

// program is the node as deploy/system.toml builds and runs it, from the root of the repository.
var program = filepath.Join("target", "plantainwheel-attendant")
