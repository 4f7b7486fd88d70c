// Package client is an HTTP client for the operator API of a node.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
)

// Errors of requests to a node.
var (
	// ErrRejected reports that the node answered with an error. A rejected change is not in force.
	ErrRejected = errors.New("request was rejected")
	// ErrConflict reports that the resource has changed since the given version.
	ErrConflict = errors.New("resource has changed since the given version")
	// ErrOutcomeUnknown reports that the change may or may not be in force.
	ErrOutcomeUnknown = errors.New("outcome of change is unknown")
	// ErrNotFound reports that the resource does not exist.
	ErrNotFound = errors.New("not found")
)

const maxResponseBytes = 64 << 20

// Client sends requests to one node.
type Client struct {
	// URL is the base URL of the node's operator API.
	URL string
	// Token is the operator token.
	Token string
	// HTTP sends the requests.
	HTTP *http.Client
}

// Reply is the node's reply to a change.
type Reply struct {
	Code     string `json:"code"`
	ChangeID string `json:"change-id"`
	Version  int64  `json:"version"`
	Message  string `json:"message"`
}

// Get returns a resource.
func (c *Client) Get(ctx context.Context, kind reducer.Kind, name string) (reducer.Resource, error) {
	var r reducer.Resource
	err := c.read(ctx, resourcePath(kind, name), &r)
	return r, err
}

// List returns the resources of a kind, or all resources if kind is empty.
func (c *Client) List(ctx context.Context, kind reducer.Kind) ([]reducer.Resource, error) {
	var list struct {
		Resources []reducer.Resource `json:"resources"`
	}
	path := "/v1/resources"
	if kind != "" {
		path += "/" + url.PathEscape(string(kind))
	}
	err := c.read(ctx, path, &list)
	return list.Resources, err
}

// Events returns the events that the node has recorded.
func (c *Client) Events(ctx context.Context) ([]recorder.Event, error) {
	var list []recorder.Event
	err := c.read(ctx, "/v1/events", &list)
	return list, err
}

// Apply replaces the current version of a resource with a declaration, or creates the resource.
func (c *Client) Apply(ctx context.Context, d loader.Declaration) (Reply, error) {
	current, err := c.Get(ctx, d.Kind, d.Name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Reply{}, err
	}
	return c.Put(ctx, d, current.Version)
}

// Put replaces the given version of a resource with a declaration; version 0 creates the resource.
func (c *Client) Put(ctx context.Context, d loader.Declaration, version int64) (Reply, error) {
	return c.change(ctx, http.MethodPut, resourcePath(d.Kind, d.Name), version, d.Spec)
}

// Delete removes the given version of a resource.
func (c *Client) Delete(ctx context.Context, kind reducer.Kind, name string, version int64) (Reply, error) {
	return c.change(ctx, http.MethodDelete, resourcePath(kind, name), version, nil)
}

// Fence removes the node of a VM from the fleet. The VM must have stopped for good.
func (c *Client) Fence(ctx context.Context, vm string) (Reply, error) {
	return c.change(ctx, http.MethodPost, "/v1/fence/"+url.PathEscape(vm), 0, nil)
}

// Watch copies the node's stream of resource changes to w until ctx ends.
func (c *Client) Watch(ctx context.Context, w io.Writer) error {
	resp, err := c.do(ctx, http.MethodGet, "/v1/watch", 0, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrRejected, resp.StatusCode)
	}
	if _, err := io.Copy(w, resp.Body); err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	return nil
}

func resourcePath(kind reducer.Kind, name string) string {
	return "/v1/resources/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func (c *Client) do(ctx context.Context, method, path string, version int64, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if method != http.MethodGet {
		req.Header.Set("If-Match", strconv.FormatInt(version, 10))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	return resp, nil
}

func (c *Client) read(ctx context.Context, path string, v any) error {
	resp, err := c.do(ctx, http.MethodGet, path, 0, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return fmt.Errorf("%w: status %d", ErrRejected, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

func (c *Client) change(ctx context.Context, method, path string, version int64, body []byte) (Reply, error) {
	resp, err := c.do(ctx, method, path, version, body)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	var reply Reply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&reply); err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return reply, nil
	case http.StatusConflict:
		return reply, fmt.Errorf("%w: current version is %d", ErrConflict, reply.Version)
	case http.StatusNotFound:
		return reply, ErrNotFound
	case http.StatusGatewayTimeout:
		return reply, fmt.Errorf("%w: change ID %s", ErrOutcomeUnknown, reply.ChangeID)
	default:
		return reply, fmt.Errorf("%w: %s: %s", ErrRejected, reply.Code, reply.Message)
	}
}
