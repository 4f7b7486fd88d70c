package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request sends a request with a small body and returns the status of the answer.
func request(address, id, method, path string) (int, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Deadline-Ms: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: 3\r\n\r\nabc", method, path, hostName, id, apiKey)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
