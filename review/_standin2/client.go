package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// host is the host of all routes.
const host = "mesh.example"

// key is the client's key, of the tenant named tenant.
const (
	key    = "6wsjnbanfqasnmgkcuyj"
	tenant = "pulo780"
)

// route is a route of a desired state.
func route(name, prefix, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{"resource_kind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"hostname": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs, "slo_ms": 1500, "priority": 1,
		"service": service, "max_attempts": 2, "anonymous": false,
	}}
}

// desired returns a desired state with the routes and the services.
func desired(services []string, routes ...map[string]any) map[string]any {
	resources := routes
	for _, s := range services {
		resources = append(resources, map[string]any{"resource_kind": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{
			"health_path": "/healthz", "max_conns": 694, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(
		resources,
		map[string]any{"resource_kind": "tenants", "metadata": map[string]any{"name": tenant}, "spec": map[string]any{
			"api_keys": []string{key}, "priority": 1, "rate_per_s": 1000, "burst_size": 1000,
		}},
		map[string]any{"resource_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		}},
	)
	return map[string]any{"version": "00000007", "resources": resources}
}

// ask sends one request on a new connection to the node of the machine and returns the status, or 0 without an answer.
func (w *world) ask(v *vm, method, target, id string, deadline time.Duration) int {
	status, err := w.exchange(v, method, target, id, deadline)
	if err != nil {
		w.note("answer  id=%s none: %v", id, err)
		return 0
	}
	w.note("answer  id=%s status %d", id, status)
	return status
}

func (w *world) exchange(v *vm, method, target, id string, deadline time.Duration) (int, error) {
	w.note("sent    id=%s %s %s to %s", id, method, target, v.name)
	c, err := net.DialTimeout("tcp", v.address(outboundPort), time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond)); err != nil {
		return 0, err
	}
	// net/http would change some request targets.
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Deadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", method, target, host, id, deadline.Milliseconds(), key)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
