package attendant_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// answerCase is a case of testdata/answers.txt.
type answerCase struct {
	name   string
	script responder.Script
	status int
	body   string
	slow   bool
}

// readAnswerCases reads testdata/answers.txt.
func readAnswerCases(t *testing.T) []answerCase {
	t.Helper()
	text, err := os.ReadFile("testdata/answers.txt")
	assert.NilError(t, err)
	var cases []answerCase
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSuffix(line, "\n")
		if name, ok := strings.CutPrefix(line, "["); ok {
			cases = append(cases, answerCase{name: strings.TrimSuffix(name, "]")})
			continue
		}
		if line == "" || line[0] == '#' {
			continue
		}
		c := &cases[len(cases)-1]
		verb, rest, _ := strings.Cut(line, " ")
		switch verb {
		case "raw":
			c.script.Raw += expand(t, strings.ReplaceAll(rest, `\r\n`, "\r\n"))
		case "then":
			c.script.Close, c.script.CloseReset = rest == "close", rest == "reset"
		case "want":
			status, body, _ := strings.Cut(rest, " ")
			c.status, err = strconv.Atoi(status)
			assert.NilError(t, err)
			c.slow = body == "slow"
			if !c.slow {
				c.body = expand(t, body)
			}
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return cases
}

// expand replaces {x*N} by N bytes.
func expand(t *testing.T, text string) string {
	t.Helper()
	before, rest, found := strings.Cut(text, "{x*")
	if !found {
		return text
	}
	number, after, _ := strings.Cut(rest, "}")
	n, err := strconv.Atoi(number)
	assert.NilError(t, err)
	return before + strings.Repeat("x", n) + after
}

// TestInvalidAnswers guards against bytes of a target that are no answer of its own to the request and reach the client as
// one, hang it, or hold the target's slot, at the target's node and over a hop.
func TestInvalidAnswers(t *testing.T) {
	f := newFleet(t, 2)
	f.announce(0, 2, "draining")
	f.eventually("both nodes know the target", func() bool { return f.get(0, "/a/1", "outbound") == 200 && f.get(1, "/a/1", "outbound") == 200 })
	const faulty = 1
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	for _, c := range readAnswerCases(t) {
		for entry, name := range []string{"over a hop", "same node"} {
			t.Run(fmt.Sprint(c.name, "/", name), func(t *testing.T) {
				f.targets[faulty].SetScript(&c.script)
				began := time.Now()
				resp, err := client.Do(f.request(http.MethodPost, f.nodes[entry].Settings.OutboundListen, "/a/1"))
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, resp.Body.Close())
				assert.Equal(t, resp.StatusCode, c.status)
				if c.body == "broken" {
					assert.Assert(t, err != nil, "the body looks complete")
				} else {
					assert.NilError(t, err)
					assert.Assert(t, string(body) == c.body, "body of %d bytes: %.20q", len(body), body)
				}
				if c.status < 300 {
					assert.Equal(t, resp.Header.Get(platform.SignatureHeader), "s")
				}
				assert.Equal(t, resp.Header.Get(platform.RequestIDHeader), "id")
				if !c.slow {
					assert.Assert(t, time.Since(began) < time.Second, "took %s", time.Since(began))
				}
				f.targets[faulty].SetScript(nil)
				f.eventually("slot released", func() bool { return strings.Contains(f.figures(faulty), "\ntarget_requests_running 0\n") })
				assert.Equal(t, f.get(entry, "/a/1", "outbound"), 200)
			})
		}
	}
}
