// Package client reads from and appends to the platform's log service over HTTP.
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
	"time"
)

// Errors returned by Client.
var (
	// ErrUnavailable means that the service refused the request or that a read failed. Nothing was appended.
	ErrUnavailable = errors.New("log service is unavailable")
	// ErrUnknownOutcome means that an append got no valid answer. The record may have been appended.
	ErrUnknownOutcome = errors.New("outcome of append is unknown")
)

// maxPageBytes is the maximum size of one page of records in its encoded form.
const maxPageBytes = 64 << 20

// Record is one retained record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is a sequence of records of a stream.
type Page struct {
	// First is the offset of the oldest retained record.
	First int64 `json:"first"`
	// Head is the offset of the newest record.
	Head    int64    `json:"head"`
	Records []Record `json:"records"`
}

// Client accesses one stream.
type Client struct {
	// URL is the base URL of the log service.
	URL string
	// Stream is the name of the stream.
	Stream string
	// HTTP sends the requests.
	HTTP *http.Client
}

type appendResponse struct {
	Offset int64 `json:"offset"`
}

// Append appends a record and returns its offset.
func (c *Client) Append(ctx context.Context, data []byte) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.endpoint("records"), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append: %w", err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	var answer appendResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1024)).Decode(&answer); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return answer.Offset, nil
}

// Read returns the records from an offset on. If there are none, it waits for the first record up to the given time.
func (c *Client) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.endpoint("records")+"?"+q.Encode(), nil)
	if err != nil {
		return Page{}, fmt.Errorf("read: %w", err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	var page Page
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&page); err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return page, nil
}

func (c *Client) endpoint(resource string) string {
	return c.URL + "/v1/streams/" + url.PathEscape(c.Stream) + "/" + resource
}
