package crowder_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"gotest.tools/v3/assert"
)

const (
	// crowdConns is the number of connections of a crowd, more than a node may have descriptors.
	crowdConns = 1200
	// blockBytes is the number of bytes that a connection sends at once, about.
	blockBytes = 8 << 10
	// holdTime is how long the connections are held once all has been sent, so that the node has accepted them.
	holdTime = 300 * time.Millisecond
	// patience ends a test whose node hangs.
	patience = 40 * time.Second
	// settlePeriod is how long the senders of a crowd may go on.
	settlePeriod = 5 * time.Second
)

// Things that happen during a crowd.
const (
	duringStop         = "stop"
	duringReload       = "reload"
	duringStoreAway    = "store-away"
	duringUnconfigured = "unconfigured"
)

// crowd is a case of testdata/crowds.txt.
type crowd struct {
	name   string
	on     []string
	conns  int
	open   string
	repeat string
	bytes  int
	pause  time.Duration
	answer int
	during string
}

func readCrowds(t *testing.T) []crowd {
	t.Helper()
	text, err := os.ReadFile("testdata/crowds.txt")
	assert.NilError(t, err)
	var crowds []crowd
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSuffix(line, "\n")
		if name, ok := strings.CutPrefix(line, "["); ok {
			crowds = append(crowds, crowd{name: strings.TrimSuffix(name, "]"), conns: crowdConns})
			continue
		}
		if line == "" || line[0] == '#' {
			continue
		}
		verb, rest, _ := strings.Cut(line, " ")
		crowds[len(crowds)-1].set(t, verb, strings.ReplaceAll(rest, `\r\n`, "\r\n"))
	}
	return crowds
}

// set sets the field that a line of the case names.
func (c *crowd) set(t *testing.T, verb, value string) {
	t.Helper()
	var err error
	switch verb {
	case "on":
		c.on = strings.Fields(value)
	case "conns":
		c.conns, err = strconv.Atoi(value)
	case "open":
		c.open = value
	case "repeat":
		c.repeat = value
	case "bytes":
		c.bytes, err = strconv.Atoi(value)
	case "slowly":
		c.pause, err = time.ParseDuration(value)
	case "answer":
		c.answer, err = strconv.Atoi(value)
	case "during":
		c.during = value
	default:
		t.Fatalf("unknown line %q", verb)
	}
	assert.NilError(t, err)
}

// block returns about blockBytes of the repeated text, or one repetition if they are sent slowly. n counts the repetitions
// of a connection.
func (c *crowd) block(n *int) string {
	var b strings.Builder
	for {
		*n++
		b.WriteString(strings.ReplaceAll(c.repeat, "{n}", strconv.FormatInt(int64(*n), 36)))
		if c.pause > 0 || b.Len() >= blockBytes {
			return b.String()
		}
	}
}

// send sends what one client of the crowd sends. It ends early if the node closes the connection.
func (c *crowd) send(conn net.Conn) {
	// The node may stop reading for good.
	_ = conn.SetWriteDeadline(time.Now().Add(settlePeriod))
	if _, err := io.WriteString(conn, c.open); err != nil {
		return
	}
	for sent, n := 0, 0; sent < c.bytes; {
		block := c.block(&n)
		block = block[:min(len(block), c.bytes-sent)]
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
		sent += len(block)
		time.Sleep(c.pause)
	}
}

// press opens the connections of the crowd to the node and sends on all of them. It returns them, still open.
func (c *crowd) press(n *node) []net.Conn {
	var mu sync.Mutex
	var conns []net.Conn
	var senders sync.WaitGroup
	for i := range c.conns {
		senders.Go(func() {
			conn, err := net.DialTimeout("tcp4", n.addresses[c.on[i%len(c.on)]], settlePeriod)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			c.send(conn)
		})
	}
	senders.Wait()
	time.Sleep(holdTime)
	return conns
}

// TestCrowds guards against clients that end a node, hang it, or take up its memory or its descriptors: with heads over the
// limit or without an end, with blank lines, with bodies that stop, with answers that they don't read, or with connections
// only. Ordinary callers get answers beside the crowd and after it.
func TestCrowds(t *testing.T) {
	program := build(t)
	for _, c := range readCrowds(t) {
		t.Run(c.name, func(t *testing.T) { c.play(t, program) })
	}
}

func (c *crowd) play(t *testing.T, program string) {
	f := startFleet(t, program, c.during != duringUnconfigured)
	if c.answer > 0 {
		f.target.SetScript(&responder.Script{Raw: fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: {id}\r\nX-Plantainwheel-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s", c.answer, strings.Repeat("x", c.answer))})
	}
	crowded := f.nodes[0]
	switch c.during {
	case duringStoreAway:
		f.store.SetFaults(storer.Faults{Unavailable: true})
	case duringStop:
		// The crowd comes while the node still accepts connections.
		crowded.terminate()
	}
	conns := c.press(crowded)
	switch c.during {
	case duringReload:
		f.configure(2, reducedHeaderBytes)
	case duringStoreAway:
		f.store.SetFaults(storer.Faults{})
	case duringUnconfigured:
		f.configure(1, maxHeaderBytes)
	}
	f.target.SetScript(nil)
	if c.during == duringStop {
		crowded.waitEnd()
		crowded.start()
		f.announce(2)
	} else {
		f.checkServed("beside the crowd")
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	f.checkServed("after the crowd")
	assert.Check(t, crowded.running(), "the process has ended")
	memory, descriptors := crowded.peaks()
	t.Logf("%d connections, peak %.1f MB, %d descriptors", len(conns), float64(memory)/(1<<20), descriptors)
	assert.Check(t, memory <= memoryMB<<20, "%.1f MB", float64(memory)/(1<<20))
	assert.Check(t, descriptors <= maxFDs, "%d descriptors", descriptors)
}
