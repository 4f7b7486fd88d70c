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
	// Failed responds with a signed status 500.
	Failed Fault = "failed"
	// Misdirected rejects the request as one for another incarnation.
	Misdirected Fault = "misdirected"
	// LongBody responds with a body of LongBodyBytes.
	LongBody Fault = "long-body"
	// The remaining faults send bytes until the connection is closed.

	// EndlessStatus never ends the status line.
	EndlessStatus Fault = "endless-status"
	// EndlessHeader never ends one header line, EndlessHeaders never ends the list of header lines.
	EndlessHeader  Fault = "endless-header"
	EndlessHeaders Fault = "endless-headers"
	// EndlessInterim sends interim responses only.
	EndlessInterim Fault = "endless-interim"
	// EndlessChunks sends a body in chunks, EndlessUnframed one without a length.
	EndlessChunks   Fault = "endless-chunks"
	EndlessUnframed Fault = "endless-unframed"
	// EndlessTrailer sends a body in chunks and never ends the trailer.
	EndlessTrailer Fault = "endless-trailer"
	// EndlessExtra sends a complete response and goes on.
	EndlessExtra Fault = "endless-extra"
	// EndlessBlank sends blank lines only.
	EndlessBlank Fault = "endless-blank"
	// EndlessChunkSize never ends the size of a chunk, EndlessChunkExtension what follows it.
	EndlessChunkSize      Fault = "endless-chunk-size"
	EndlessChunkExtension Fault = "endless-chunk-extension"
	// EndlessFailure, EndlessRefusal and EndlessMisdirected send a body without a length behind a failure, a refusal that
	// says that the request has not run, and one that says that it was meant for another incarnation.
	EndlessFailure     Fault = "endless-failure"
	EndlessRefusal     Fault = "endless-refusal"
	EndlessMisdirected Fault = "endless-misdirected"
)

// EndlessFaults lists the faults that send bytes until the connection is closed.
var EndlessFaults = []Fault{
	EndlessStatus, EndlessHeader, EndlessHeaders, EndlessInterim, EndlessChunks, EndlessUnframed, EndlessTrailer, EndlessExtra,
	EndlessBlank, EndlessChunkSize, EndlessChunkExtension, EndlessFailure, EndlessRefusal, EndlessMisdirected,
}

// LongBodyBytes is the length of the body of LongBody.
const LongBodyBytes = 8 << 20

// endless holds for each endless fault what precedes the bytes that are repeated, after the status line, and these
// bytes.
var endless = map[Fault]struct{ before, repeated string }{
	EndlessHeader:   {"X-Long: ", "xxxxxxxx"},
	EndlessHeaders:  {"", "X-More: x\r\n"},
	EndlessChunks:   {"Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
	EndlessUnframed: {"\r\n", "xxxxxxxx"},
	EndlessTrailer:  {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-More: x\r\n"},
	EndlessExtra:    {"Content-Length: 2\r\n\r\nok", "xxxxxxxx"},

	EndlessChunkSize:      {"Transfer-Encoding: chunked\r\n\r\n", "00000000"},
	EndlessChunkExtension: {"Transfer-Encoding: chunked\r\n\r\n8;", "xxxxxxxx"},
	EndlessFailure:        {"\r\n", "xxxxxxxx"},
	EndlessRefusal:        {"X-Plantainwheel-Not-Executed: 1\r\n\r\n", "xxxxxxxx"},
	EndlessMisdirected:    {"\r\n", "xxxxxxxx"},
}

// endlessStatus holds the status of the endless faults that are no success.
var endlessStatus = map[Fault]string{EndlessFailure: "500 Failed", EndlessRefusal: "503 Full", EndlessMisdirected: "421 Misdirected"}

// Request is a request as received by the target.
type Request struct {
	Method string
	URI    string
	Header http.Header
	Body   string
}

// Responder is a target with configurable faults. It is safe for concurrent use.
type Responder struct {
	// ServiceTime is the service time of a request. SetServiceTime changes it while the responder runs.
	ServiceTime time.Duration
	// CrashOn, if set, is a part of the URI of the requests that crash the target. OnCrash is then called instead of a
	// response, on a goroutine of its own, and must call Close.
	CrashOn string
	OnCrash func()

	mu          sync.Mutex
	discard     bool
	script      *Script
	fault       Fault
	headers     string
	sentBytes   int
	requests    []Request
	inFlight    int
	maxInFlight int
	listener    net.Listener
	done        sync.WaitGroup
	conns       map[net.Conn]bool
	// beforeNext holds what is written on a connection when the next request arrives.
	beforeNext map[net.Conn]string
}

// Open starts to serve on a loopback port and returns the address.
func (r *Responder) Open() (string, error) { return r.OpenAt("127.0.0.1:0") }

// OpenAt starts to serve on the address.
func (r *Responder) OpenAt(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	r.listener = l
	r.done.Go(r.accept)
	return l.Addr().String(), nil
}

// Close crashes the target: it closes the listener and all connections.
func (r *Responder) Close() {
	if r.listener != nil {
		_ = r.listener.Close()
	}
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

// SetServiceTime sets the service time of all subsequent requests.
func (r *Responder) SetServiceTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ServiceTime = d
}

// SetDiscard makes the responder throw the bodies of all subsequent requests away as it reads them.
func (r *Responder) SetDiscard(discard bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discard = discard
}

// readBody reads the body of a request in full.
func (r *Responder) readBody(body io.Reader) ([]byte, error) {
	r.mu.Lock()
	discard := r.discard
	r.mu.Unlock()
	if discard {
		_, err := io.Copy(io.Discard, body)
		return nil, err
	}
	return io.ReadAll(body)
}

// SetFault sets the fault of all subsequent responses.
func (r *Responder) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Script replaces what the responder writes in response to a request.
type Script struct {
	// Raw is written as it is, but for {id}, which stands for the ID of the request.
	Raw string
	// Cut, if set, returns how many bytes of that are written in response to the request with the ID.
	Cut func(id string) int
	// Later, if set, is written LaterAfter after Raw, and BeforeNext when the next request arrives on the same connection,
	// before it runs. {id} stands for the ID of the request that Raw was written for.
	Later      string
	LaterAfter time.Duration
	BeforeNext string
	// Close closes the connection after Raw, CloseReset resets it.
	Close, CloseReset bool
}

// SetScript sets the script of all subsequent responses, or none if s is nil. It takes precedence over the fault.
func (r *Responder) SetScript(s *Script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = s
}

// SetHeaders sets header lines, each with its line end, that all subsequent responses have.
func (r *Responder) SetHeaders(lines string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headers = lines
}

// SentBytes returns the number of bytes that the endless faults have written.
func (r *Responder) SentBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentBytes
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
		r.Serve(c)
	}
}

// Serve starts to serve one connection.
func (r *Responder) Serve(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		r.conns = map[net.Conn]bool{}
	}
	r.conns[c] = true
	r.done.Go(func() { r.serve(c) })
}

func (r *Responder) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := r.readBody(req.Body)
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
	f, script := r.fault, r.script
	late := r.beforeNext[c]
	delete(r.beforeNext, c)
	headers, serviceTime := r.headers, r.ServiceTime
	rejected := f == Shed || f == Misdirected
	if !rejected {
		r.requests = append(r.requests, Request{Method: req.Method, URI: req.RequestURI, Header: req.Header, Body: body})
		r.inFlight++
		r.maxInFlight = max(r.maxInFlight, r.inFlight)
	}
	r.mu.Unlock()
	write(c, late)
	if !rejected {
		time.Sleep(serviceTime)
		r.mu.Lock()
		r.inFlight--
		r.mu.Unlock()
	}
	id := req.Header.Get("X-Plantainwheel-Request-Id")
	if r.CrashOn != "" && strings.Contains(req.RequestURI, r.CrashOn) {
		go r.OnCrash()
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	if script != nil {
		return r.writeScript(c, script, id)
	}
	if f.isEndless() {
		r.writeEndless(c, f, id)
		return false
	}
	responseHead := func(id, length string) string { return responseHead(id, headers+length) }
	switch f {
	case Failed:
		return write(c, strings.Replace(responseHead(id, "Content-Length: 2\r\n"), "200 OK", "500 Failed", 1)+"no")
	case LongBody:
		return write(c, responseHead(id, fmt.Sprint("Content-Length: ", LongBodyBytes, "\r\n"))+strings.Repeat("x", LongBodyBytes))
	case Misdirected:
		return write(c, strings.Replace(responseHead(id, "Content-Length: 2\r\n"), "200 OK", "421 Misdirected", 1)+"no")
	case Reset:
		return false
	case Hang:
		_, _ = io.Copy(io.Discard, c)
		return false
	case Shed:
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nX-Plantainwheel-Request-Id: "+id+"\r\nX-Plantainwheel-Not-Executed: 1\r\n"+headers+"Content-Length: 0\r\n\r\n")
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

// writeScript writes a scripted response. It returns false if the connection must be closed.
func (r *Responder) writeScript(c net.Conn, s *Script, id string) bool {
	fill := func(text string) string { return strings.ReplaceAll(text, "{id}", id) }
	raw := fill(s.Raw)
	if s.Cut != nil {
		raw = raw[:s.Cut(id)]
	}
	if s.BeforeNext != "" {
		r.mu.Lock()
		if r.beforeNext == nil {
			r.beforeNext = map[net.Conn]string{}
		}
		r.beforeNext[c] = fill(s.BeforeNext)
		r.mu.Unlock()
	}
	if !write(c, raw) {
		return false
	}
	if s.Later != "" {
		time.AfterFunc(s.LaterAfter, func() { write(c, fill(s.Later)) })
	}
	if s.CloseReset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return !s.Close && !s.CloseReset
}

// responseHead returns the status line and headers of a signed successful response.
func responseHead(id, length string) string {
	return "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: " + id + "\r\nX-Plantainwheel-Response-Seal: s\r\n" + length + "\r\n"
}

func (f Fault) isEndless() bool { return strings.HasPrefix(string(f), "endless-") }

// writeEndless writes until the peer closes the connection.
func (r *Responder) writeEndless(c net.Conn, f Fault, id string) {
	before, repeated := responseHead(id, "")[:len(responseHead(id, ""))-2]+endless[f].before, endless[f].repeated
	switch f {
	case EndlessStatus:
		before, repeated = "HTTP/1.1 200 ", "xxxxxxxx"
	case EndlessInterim:
		before, repeated = "", "HTTP/1.1 103 Early Hints\r\n\r\n"
	case EndlessBlank:
		before, repeated = "", "\r\n\r\n\r\n\r\n"
	}
	if status, ok := endlessStatus[f]; ok {
		before = strings.Replace(before, "200 OK", status, 1)
	}
	block := []byte(strings.Repeat(repeated, 1<<10))
	for next := []byte(before); ; next = block {
		n, err := c.Write(next)
		r.mu.Lock()
		r.sentBytes += n
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
