package main

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

func init() { cases["early"] = runEarly }

const (
	earlyRequests = 20
	// earlyBody is the length of each request's body, and earlyRead how much of it an instance has read when it answers.
	earlyBody  = 192 << 10
	earlyRead  = 128 << 10
	earlyPiece = 1 << 10
	// earlyPause is the pause between two pieces that the client sends.
	earlyPause = time.Millisecond
)

// longAnswer is the body of each answer.
var longAnswer = strings.Repeat("accepted ", 20<<10)

// bodyByte is the byte at the position of every body: the low, middle and high byte of the number of its group of three.
func bodyByte(at int) byte { return byte(at / 3 >> (8 * (at % 3))) }

// runEarly sends long bodies to one node. With trouble, the instance answers before it has read all of a body, keeps the
// connection and reads on.
func runEarly(rec *record, trouble bool) int {
	f, err := newFleet()
	if err != nil {
		rec.printf("%v", err)
		return noRun
	}
	defer f.close()
	n, err := f.add("orders")
	if err != nil {
		rec.printf("%v", err)
		return noRun
	}
	f.configure(1, []string{"orders"}, []route{{"r-orders", "shop.example", "/orders/", "non_idempotent", "orders", 10000, 1}})
	var mu sync.Mutex
	wrong, read := 0, 0
	in := newInstance(n, "i-1", 50, func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		id := r.Header.Get(idHeader)
		answered := false
		at, bad, buf := 0, -1, make([]byte, 4<<10)
		var end error
		for {
			if trouble && !answered && at >= earlyRead {
				answered = true
				rec.printf("instance: request %s: answers after %d bytes of its body", id, at)
				go func() { _ = answer(c, r, longAnswer) }()
			}
			k, err := r.Body.Read(buf)
			for i := range k {
				if bad < 0 && (at+i >= earlyBody || buf[i] != bodyByte(at+i)) {
					bad = at + i
				}
			}
			at += k
			if err != nil {
				end = err
				break
			}
		}
		mu.Lock()
		read++
		if bad >= 0 {
			wrong++
		}
		mu.Unlock()
		switch {
		case bad >= 0:
			rec.printf("instance: request %s: got OTHER BYTES from position %d on; the body ended after %d bytes with %v", id, bad, at, end)
		default:
			rec.printf("instance: request %s: got %d bytes, all as sent; the body ended with %v", id, at, end)
		}
		if end != io.EOF {
			return false
		}
		return answered || answer(c, r, longAnswer) == nil
	})
	if err := in.open(); err != nil {
		rec.printf("%v", err)
		return noRun
	}
	defer in.close()
	if err := n.start(); err != nil || !n.awaitReady(20*time.Second) {
		rec.printf("node not ready: %v\n%s", err, n.log())
		return noRun
	}
	time.Sleep(2 * time.Second)
	answers := map[int]int{}
	for k := range earlyRequests {
		status, err := sendLong(n.outbound, fmt.Sprintf("early-%d", k))
		answers[status]++
		rec.printf("client: request early-%d: status %d, %v", k, status, err)
		time.Sleep(200 * time.Millisecond)
	}
	rec.printf("answers by status: %v; bodies read by the instance: %d, of which with other bytes: %d", answers, read, wrong)
	switch {
	case !n.running():
		rec.printf("the node has ended by itself")
		return broken
	case wrong > 0:
		return broken
	case answers[http.StatusOK] == 0:
		return noRun
	}
	return held
}

// sendLong sends a long body in pieces on a new connection, reads the answer whenever it comes, and goes on to send the
// rest of the body.
func sendLong(address, id string) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST /orders/2f HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\nX-Plantainwheel-Deadline-Ms: 10000\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", idHeader, id, apiKey)
	go func() {
		piece := make([]byte, earlyPiece)
		for at := 0; at < earlyBody; at += earlyPiece {
			for i := range piece {
				piece[i] = bodyByte(at + i)
			}
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", earlyPiece, piece); err != nil {
				return
			}
			time.Sleep(earlyPause)
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
