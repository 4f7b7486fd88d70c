package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	standin "github.com/plantainwheel/plantainwheel/internal/standin/commander"
	"github.com/plantainwheel/plantainwheel/internal/standin/target"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"plantainwheel": main,
		"standin":       func() { os.Exit(standin.Main(os.Args, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata/script. Each script has its own loopback network, so that
// the processes that different scripts start do not share addresses.
func TestScripts(t *testing.T) {
	var prefixes sync.Map
	n := 0
	var mu sync.Mutex
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			mu.Lock()
			defer mu.Unlock()
			n++
			prefix := fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, n)
			prefixes.Store(env.WorkDir, prefix)
			env.Setenv("NET", prefix)
			env.Setenv("KEY", "k-papeles")
			return writeSettings(env.WorkDir, prefix)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"call":       callCmd,
			"eventually": eventuallyCmd,
			"signal":     signalCmd,
			"runs":       runsCmd,
		},
	})
}

// writeSettings writes the declarations and the settings of four VMs in two data centres.
func writeSettings(dir, prefix string) error {
	for i := 1; i <= 4; i++ {
		text := fmt.Sprintf(`{
  // Settings of one VM.
  "vm": "vm-%d", "data-centre": "dc-%d",
  "caller-listen": "%[3]s.%[1]d:7400", "target-listen": "%[3]s.%[1]d:7401", "peer-listen": "%[3]s.%[1]d:7402",
  "operator-listen": "%[3]s.%[1]d:7403", "metrics-listen": "%[3]s.%[1]d:7404",
  "platform-url": "http://%[3]s.100:7500", "seeds": ["%[3]s.1:7402", "%[3]s.2:7402"],
  "confirmation": "1s", "exchange-every": "100ms", "suspect-after": "1500ms",
}`, i, 1+i%2, prefix)
		if err := os.WriteFile(fmt.Sprintf("%s/vm-%d.json", dir, i), []byte(text), 0o600); err != nil {
			return err
		}
	}
	sum := sha256.Sum256([]byte("k-papeles"))
	data, err := os.ReadFile("testdata/declarations.json")
	if err != nil {
		return err
	}
	text := strings.ReplaceAll(string(data), "SHA256", hex.EncodeToString(sum[:]))
	return os.WriteFile(dir+"/declarations.json", []byte(text), 0o600)
}

// callCmd implements "call METHOD URL [header=value ...] [body]". It sends one request, prints the status, the headers
// and the body of the response, and fails unless the status is below 300.
func callCmd(ts *testscript.TestScript, neg bool, args []string) {
	out, ok := call(args)
	fmt.Fprint(ts.Stdout(), out)
	if ok == neg {
		ts.Fatalf("call %v: %s", args, out)
	}
}

var client = &http.Client{Timeout: 10 * time.Second}

func call(args []string) (string, bool) {
	body := ""
	req, err := http.NewRequest(args[0], args[1], nil)
	if err != nil {
		return err.Error(), false
	}
	for _, a := range args[2:] {
		name, value, ok := strings.Cut(a, "=")
		if !ok {
			body = a
			continue
		}
		req.Header.Set(name, value)
	}
	req.Body = io.NopCloser(strings.NewReader(body))
	req.ContentLength = int64(len(body))
	resp, err := client.Do(req)
	if err != nil {
		return err.Error(), false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error(), false
	}
	var b strings.Builder
	fmt.Fprintf(&b, "status %d\n", resp.StatusCode)
	_ = resp.Header.Write(&b)
	b.Write(text)
	b.WriteString("\n")
	return b.String(), resp.StatusCode < 300
}

// eventuallyCmd implements "eventually TEXT METHOD URL ...". It repeats a call until the output contains TEXT.
func eventuallyCmd(ts *testscript.TestScript, _ bool, args []string) {
	out := ""
	for range 150 {
		out, _ = call(args[1:])
		if strings.Contains(out, args[0]) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("%q not found in: %s", args[0], out)
}

// signalCmd implements "signal NAME N". It sends a signal to the background process with index N and does not wait for
// the process to exit.
func signalCmd(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	var cmd *exec.Cmd = ts.BackgroundCmds()[n]
	ts.Check(cmd.Process.Signal(signals[args[0]]))
}

// runsCmd implements "runs COUNT BODY URL ...". It fetches the executed requests from the targets and fails unless
// exactly COUNT of them have the body. It also fails if a credential reached a target.
func runsCmd(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	for _, url := range args[2:] {
		resp, err := client.Get(url + "/stand-in/runs")
		ts.Check(err)
		var runs []target.Run
		ts.Check(json.NewDecoder(resp.Body).Decode(&runs))
		resp.Body.Close()
		for _, r := range runs {
			if r.Credentials > 0 {
				ts.Fatalf("a credential reached the target: %+v", r)
			}
			if r.Body == args[1] {
				got++
			}
		}
	}
	if got != want {
		ts.Fatalf("%d runs of %q, want %d", got, args[1], want)
	}
}
