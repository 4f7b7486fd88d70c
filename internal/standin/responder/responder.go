// Package responder is a stand-in for a target of the users' platform. It writes raw HTTP responses, so that tests can
// make it violate any rule of the protocol.
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

// Fault is a fault that the responder injects into its responses.
type Fault string

// Faults of a responder.
const (
	None Fault = ""
	// Reset runs the request and closes the connection without a response.
	Reset Fault = "reset"
	// Hang runs the request and never responds.
	Hang Fault = "hang"
	// Shed rejects the request without running it.
	Shed Fault = "shed"
	// Truncate closes the connection before the end of the response.
	Truncate Fault = "truncate"
	// Garbage responds with bytes that are not an HTTP response.
	Garbage Fault = "noise"
	// MismatchedID responds with the ID of another request.
	MismatchedID Fault = "other-id"
	// Unsigned responds without a signature.
	Unsigned Fault = "unsigned"
	// ExtraResponse sends a second response after the first.
	ExtraResponse Fault = "extra"
	// Unframed sends a response without Content-Length, delimited by the end of the connection.
	Unframed Fault = "unframed"
	// UnframedReset is like Unframed but resets the connection in the middle of the body.
	UnframedReset Fault = "unframed-cut"
	// CloseIdle closes the connection after each response without sending "Connection: close".
	CloseIdle Fault = "close-idle"
	// Unavailable responds with status 503 although the request has run.
	Unavailable Fault = "unavailable"
)

// Request is a request as received by the target.
type Request struct {
	Method string
	URI    string
	Header http.Header
	Body   string
}

// Responder is a target with configurable faults. It is safe for concurrent use.
type Responder struct {
	// ServiceTime is the service time of a request.
	ServiceTime time.Duration

	mu          sync.Mutex
	fault       Fault
	requests    []Request
	inFlight    int
	maxInFlight int
	listener    net.Listener
	done        sync.WaitGroup
	conns       map[net.Conn]bool
}

// Open starts to serve on a loopback port and returns the address.
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

// Close crashes the target: it closes the listener and all connections.
func (r *Responder) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

// SetFault sets the fault of all subsequent responses.
func (r *Responder) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Requests returns the requests that were run.
func (r *Responder) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.requests...)
}

// MaxInFlight returns the maximum number of requests that ran concurrently.
func (r *Responder) MaxInFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxInFlight
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
		if !r.respond(c, req, string(body)) {
			return
		}
	}
}

// respond runs a request and responds to it. It returns false if the connection must be closed.
func (r *Responder) respond(c net.Conn, req *http.Request, body string) bool {
	r.mu.Lock()
	f := r.fault
	if f != Shed {
		r.requests = append(r.requests, Request{Method: req.Method, URI: req.RequestURI, Header: req.Header, Body: body})
		r.inFlight++
		r.maxInFlight = max(r.maxInFlight, r.inFlight)
	}
	r.mu.Unlock()
	if f != Shed {
		time.Sleep(r.ServiceTime)
		r.mu.Lock()
		r.inFlight--
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
		write(c, responseHead(id, "Content-Length: 100\r\n")+"short")
		return false
	case Garbage:
		write(c, "\x00\x01 no answer at all\r\n\r\n")
		return false
	case MismatchedID:
		return write(c, responseHead("another", "Content-Length: 2\r\n")+"ok")
	case Unsigned:
		return write(c, "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: "+id+"\r\nContent-Length: 2\r\n\r\nok")
	case ExtraResponse:
		return write(c, responseHead(id, "Content-Length: 2\r\n")+"ok"+responseHead(id, "Content-Length: 2\r\n")+"no")
	case Unframed:
		write(c, responseHead(id, "")+"ok")
		return false
	case UnframedReset:
		write(c, responseHead(id, "")+"o")
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case CloseIdle:
		write(c, responseHead(id, "Content-Length: 2\r\n")+"ok")
		return false
	case Unavailable:
		return write(c, strings.Replace(responseHead(id, "Content-Length: 2\r\n"), "200 OK", "503 Service Unavailable", 1)+"ok")
	default:
		return write(c, responseHead(id, "Content-Length: 2\r\n")+"ok")
	}
}

// responseHead returns the status line and headers of a signed successful response.
func responseHead(id, length string) string {
	return "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: " + id + "\r\nX-Plantainwheel-Response-Seal: s\r\n" + length + "\r\n"
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
