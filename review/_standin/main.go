// Command standin plays the cases of the review: it starts nodes as separate processes on loopback addresses, with
// stand-ins for the store, the instances and the clients in its own process. It is run in the repository root by
// review/N/run.sh, with the number of the case and the path of the record.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// result of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

var cases = map[string]func(r *record, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(noRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble %v", os.Args[1], trouble)
	code := cases[os.Args[1]](r, trouble)
	r.printf("exit %d", code)
	_ = file.Close()
	os.Exit(code)
}
