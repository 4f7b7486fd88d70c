// Package responder stands in for a target of the users' platform. It writes its answers byte by byte, so
// that tests can have it break any promise of the protocol.
package responder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fault is how an answer goes wrong.
type Fault string

// The faults.
const (
	None Fault = ""
	// Reset runs the request and breaks the connection off without an answer.
	Reset Fault = "reset"
	// Hang never answers.
	Hang Fault = "hang"
	// Shed refuses the request without running it.
	Shed Fault = "shed"
	// Truncate ends the answer early.
	Truncate Fault = "truncate"
	// Noise answers with bytes that are no answer.
	Noise Fault = "noise"
	// OtherID answers for another request, Unsigned without a signature.
	OtherID  Fault = "other-id"
	Unsigned Fault = "unsigned"
	// Extra sends a second answer after the first.
	Extra Fault = "extra"
	// Unframed sends an answer without a length, which ends with its connection; UnframedCut resets it.
	Unframed    Fault = "unframed"
	UnframedCut Fault = "unframed-cut"
	// CloseIdle closes the connection after each answer without saying so.
	CloseIdle Fault = "close-idle"
	// Unavailable answers 503 although the request has run.
	Unavailable Fault = "unavailable"
)

// Seen is a request as it arrived.
type Seen struct {
	Method string
	URI    string
	Header http.Header
	Body   string
}

// Responder is the target. It is safe for concurrent use.
type Responder struct {
	// Work is how long a request runs.
	Work time.Duration

	mu       sync.Mutex
	fault    Fault
	seen     []Seen
	running  int
	peak     int
	listener net.Listener
	done     sync.WaitGroup
	conns    map[net.Conn]bool
}

// Open starts to listen on loopback and returns the address.
func (r *Responder) Open() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	r.listener = l
	r.conns = map[net.Conn]bool{}
	r.done.Go(r.accept)
	return l.Addr().String(), nil
}

// Close ends the target as a crash would.
func (r *Responder) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

// Break has the answers go wrong from now on.
func (r *Responder) Break(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Seen returns the requests that were run.
func (r *Responder) Seen() []Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Seen(nil), r.seen...)
}

// Peak returns the most requests that ran at once.
func (r *Responder) Peak() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}

func (r *Responder) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		r.done.Go(func() { r.serve(c) })
	}
}

func (r *Responder) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.answer(c, req, string(body)) {
			return
		}
	}
}

// answer says whether the connection goes on.
func (r *Responder) answer(c net.Conn, req *http.Request, body string) bool {
	r.mu.Lock()
	f := r.fault
	if f != Shed {
		r.seen = append(r.seen, Seen{Method: req.Method, URI: req.RequestURI, Header: req.Header, Body: body})
		r.running++
		r.peak = max(r.peak, r.running)
	}
	r.mu.Unlock()
	if f != Shed {
		time.Sleep(r.Work)
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}
	id := req.Header.Get("X-Plantainwheel-Request-Id")
	switch f {
	case Reset:
		return false
	case Hang:
		_, _ = io.Copy(io.Discard, c)
		return false
	case Shed:
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nX-Plantainwheel-Request-Id: "+id+"\r\nX-Plantainwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case Truncate:
		write(c, head(id, "Content-Length: 100\r\n")+"short")
		return false
	case Noise:
		write(c, "\x00\x01 no answer at all\r\n\r\n")
		return false
	case OtherID:
		return write(c, head("another", "Content-Length: 2\r\n")+"ok")
	case Unsigned:
		return write(c, "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: "+id+"\r\nContent-Length: 2\r\n\r\nok")
	case Extra:
		return write(c, head(id, "Content-Length: 2\r\n")+"ok"+head(id, "Content-Length: 2\r\n")+"no")
	case Unframed:
		write(c, head(id, "")+"ok")
		return false
	case UnframedCut:
		write(c, head(id, "")+"o")
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case CloseIdle:
		write(c, head(id, "Content-Length: 2\r\n")+"ok")
		return false
	case Unavailable:
		return write(c, strings.Replace(head(id, "Content-Length: 2\r\n"), "200 OK", "503 Service Unavailable", 1)+"ok")
	default:
		return write(c, head(id, "Content-Length: 2\r\n")+"ok")
	}
}

func head(id, length string) string {
	return "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: " + id + "\r\nX-Plantainwheel-Response-Seal: s\r\n" + length + "\r\n"
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
