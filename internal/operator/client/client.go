// Package client calls the operators' interface of a node.
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

// Sentinel errors of changes.
var (
	// ErrRefused says that the change is not in force.
	ErrRefused = errors.New("change was refused")
	// ErrConflict says that the resource has changed since.
	ErrConflict = errors.New("resource has changed since")
	// ErrUnclear says that the change may be in force.
	ErrUnclear = errors.New("outcome of change is unknown")
	// ErrNotFound says that there is no such resource.
	ErrNotFound = errors.New("not found")
)

const maxAnswerBytes = 64 << 20

// Client calls one node.
type Client struct {
	// URL is the node's address for operators.
	URL string
	// Token is the operators' credential.
	Token string
	// HTTP sends the requests.
	HTTP *http.Client
}

// Verdict is the answer to a change.
type Verdict struct {
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

// List returns the resources of a kind, or all.
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

// Events returns the node's events.
func (c *Client) Events(ctx context.Context) ([]recorder.Event, error) {
	var list []recorder.Event
	err := c.read(ctx, "/v1/events", &list)
	return list, err
}

// Apply puts a declaration over the version that is in force now.
func (c *Client) Apply(ctx context.Context, d loader.Declaration) (Verdict, error) {
	current, err := c.Get(ctx, d.Kind, d.Name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Verdict{}, err
	}
	return c.Put(ctx, d, current.Version)
}

// Put puts a declaration over a known version; 0 creates it.
func (c *Client) Put(ctx context.Context, d loader.Declaration, version int64) (Verdict, error) {
	return c.change(ctx, http.MethodPut, resourcePath(d.Kind, d.Name), version, d.Spec)
}

// Delete removes a resource whose version is known.
func (c *Client) Delete(ctx context.Context, kind reducer.Kind, name string, version int64) (Verdict, error) {
	return c.change(ctx, http.MethodDelete, resourcePath(kind, name), version, nil)
}

// Fence removes a VM that is lost for good.
func (c *Client) Fence(ctx context.Context, vm string) (Verdict, error) {
	return c.change(ctx, http.MethodPost, "/v1/fence/"+url.PathEscape(vm), 0, nil)
}

// Watch copies the node's stream of changes to w until ctx ends.
func (c *Client) Watch(ctx context.Context, w io.Writer) error {
	resp, err := c.do(ctx, http.MethodGet, "/v1/watch", 0, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode)
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
		return fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(v); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func (c *Client) change(ctx context.Context, method, path string, version int64, body []byte) (Verdict, error) {
	resp, err := c.do(ctx, method, path, version, body)
	if err != nil {
		return Verdict{}, fmt.Errorf("%w: %w", ErrUnclear, err)
	}
	defer resp.Body.Close()
	var v Verdict
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&v); err != nil {
		return Verdict{}, fmt.Errorf("%w: %w", ErrUnclear, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return v, nil
	case http.StatusConflict:
		return v, fmt.Errorf("%w: version %d is in force", ErrConflict, v.Version)
	case http.StatusNotFound:
		return v, ErrNotFound
	case http.StatusGatewayTimeout:
		return v, fmt.Errorf("%w: change id %s", ErrUnclear, v.ChangeID)
	default:
		return v, fmt.Errorf("%w: %s: %s", ErrRefused, v.Code, v.Message)
	}
}
