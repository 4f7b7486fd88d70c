package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["early"] = early }

const (
	uploads = 10
	// uploadBytes is the length of an upload with a length, and chunkedBytes that of one in chunks. pieceBytes is the length of
	// a piece, and pieceTime the time between two pieces.
	uploadBytes  = 1 << 20
	chunkedBytes = 320 << 10
	pieceBytes   = 16 << 10
	pieceTime    = 4 * time.Millisecond
	// earlyBytes is what the instance has read when it answers, and answerBytes the length of its answer.
	earlyBytes  = 128 << 10
	answerBytes = 100 << 10
)

// pattern returns a body in which each 8 bytes tell their position.
func pattern() []byte {
	b := make([]byte, 0, uploadBytes)
	for len(b) < uploadBytes {
		b = binary.BigEndian.AppendUint64(b, uint64(len(b)))
	}
	return b
}

// received is what the instance got of a request's body.
type received struct {
	bytes    int
	firstBad int
	bad      int
	end      error
}

// earlyInstance answers each upload once it has read the beginning of its body, keeps the connection and reads on.
type earlyInstance struct {
	rec   *record
	early bool
	body  []byte
	mu    sync.Mutex
	got   map[string]*received
	done  sync.WaitGroup
}

func (e *earlyInstance) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.connection(c)
	}
}

func (e *earlyInstance) connection(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Plantainwheel-Request-Id")
		r := &received{firstBad: -1}
		e.mu.Lock()
		e.got[id] = r
		e.mu.Unlock()
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Response-Seal: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, answerBytes, strings.Repeat("x", answerBytes))
		if e.early {
			e.read(r, io.LimitReader(req.Body, earlyBytes))
			_, _ = io.WriteString(c, answer)
			e.rec.log("instance: request %s answered with 200 after %d bytes of its body", id, r.bytes)
		}
		e.read(r, req.Body)
		e.rec.log("instance: request %s: read %d bytes of the body, then %v; %d bytes are not those of their position, the first is byte %d", id, r.bytes, r.end, r.bad, r.firstBad)
		if r.end != io.EOF {
			return
		}
		if !e.early {
			_, _ = io.WriteString(c, answer)
		}
	}
}

// read reads from a body and compares what comes with what is due there.
func (e *earlyInstance) read(r *received, body io.Reader) {
	buf := make([]byte, 4<<10)
	for {
		n, err := body.Read(buf)
		for i := range n {
			if r.bytes >= len(e.body) || buf[i] != e.body[r.bytes] {
				if r.firstBad < 0 {
					r.firstBad = r.bytes
				}
				r.bad++
			}
			r.bytes++
		}
		if err != nil {
			r.end = err
			return
		}
	}
}

// early sends uploads whose instance answers early, and looks at the bytes that the instance gets.
func early(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, trouble, "entry", "uploads")
	if err != nil {
		return failed, err
	}
	defer f.close()
	target := &earlyInstance{rec: rec, early: trouble, body: pattern(), got: map[string]*received{}}
	n := f.nodes[1]
	l, err := net.Listen("tcp4", n.app())
	if err != nil {
		return failed, err
	}
	defer l.Close()
	go target.serve(l)
	f.configure(route{Name: "r-upload", Prefix: "/upload/", Type: "non_idempotent", Service: "uploads", TimeoutMS: 5000})
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(f.nodes...); err != nil {
		return failed, err
	}
	life := newLifetime(n, "i-7f3a91c2")
	go life.beats()
	time.Sleep(3 * time.Second)
	ran, wrong, changed := 0, 0, 0
	for i := range uploads {
		// From the VM of another service, and from the instance's own VM.
		entry := f.nodes[i%2]
		id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i)
		chunked := i%4 >= 2
		body := target.body
		if chunked {
			body = body[:chunkedBytes]
		}
		status, err := upload(entry.outbound(), id, body, chunked)
		rec.log("client on %s: request %s, %d bytes, chunked %v: status %d, %v", entry.name, id, len(body), chunked, status, err)
		time.Sleep(400 * time.Millisecond)
		target.mu.Lock()
		if r := target.got[id]; r != nil {
			ran++
			if r.bad > 0 {
				wrong++
			}
			if r.end == io.EOF && (r.bad > 0 || r.bytes != len(body)) {
				changed++
			}
		}
		target.mu.Unlock()
	}
	rec.log("%d of %d requests reached the instance, %d of them with other bytes where the rest of the body was due, %d with a body that looks whole and isn't the client's", ran, uploads, wrong, changed)
	if ran < uploads/2 {
		return failed, fmt.Errorf("only %d requests reached the instance", ran)
	}
	if wrong > 0 || changed > 0 {
		return broken, nil
	}
	return held, nil
}

// upload sends a request with the body in pieces, all of it, and returns the status of the answer.
func upload(address, id string, body []byte, chunked bool) (int, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	head := fmt.Sprintf("POST /upload/%s HTTP/1.1\r\nHost: %s\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Deadline-Ms: 5000\r\nAuthorization: Bearer %s\r\n", id, hostName, id, apiKey)
	if chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	}
	go func() {
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		for rest := body; len(rest) > 0; rest = rest[pieceBytes:] {
			var piece bytes.Buffer
			if chunked {
				fmt.Fprintf(&piece, "%x\r\n%s\r\n", pieceBytes, rest[:pieceBytes])
			} else {
				piece.Write(rest[:pieceBytes])
			}
			if _, err := c.Write(piece.Bytes()); err != nil {
				return
			}
			time.Sleep(pieceTime)
		}
		if chunked {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
