// Package server implements the HTTP server that callers send their requests to.
package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"github.com/plantainwheel/plantainwheel/internal/target/dispatcher"
)

// Headers of answers to callers.
const (
	// OutcomeHeader says whether the request has run: run, not-run or unknown.
	OutcomeHeader = "Plantainwheel-Outcome"
	// CodeHeader carries the machine-readable reason of a refusal.
	CodeHeader = "Plantainwheel-Code"
	// RetryAfterHeader carries the delay of the Retry-After header in milliseconds instead of whole seconds.
	RetryAfterHeader = "Plantainwheel-Retry-After-Ms"
)

// Broker serves a request and returns its final reply.
type Broker interface {
	Serve(ctx context.Context, in broker.Inbound) broker.Reply
}

// Server serves the requests of callers.
type Server struct {
	Broker Broker
	// MaxBodyBytes limits the size of request bodies.
	MaxBodyBytes int64
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.NoRoute(s.serve)
	return engine
}

func (s *Server) serve(c *gin.Context) {
	in, err := ReadInbound(c.Request, s.MaxBodyBytes)
	if err != nil {
		WriteReply(c, UnreadableReply(err))
		return
	}
	in.Key = apiKey(c.Request.Header)
	in.RequestID = c.GetHeader("Idempotency-Key")
	WriteReply(c, s.Broker.Serve(c.Request.Context(), in))
}

// apiKey returns the bearer token of the Authorization header, or else the X-Api-Key header.
func apiKey(h http.Header) string {
	if token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer "); ok {
		return token
	}
	return h.Get("X-Api-Key")
}

// ReadInbound reads a request with its whole body. It returns an error if the body exceeds maxBodyBytes or is
// incomplete.
func ReadInbound(r *http.Request, maxBodyBytes int64) (broker.Inbound, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return broker.Inbound{}, err
	}
	in := broker.Inbound{
		Method:  r.Method,
		Path:    r.URL.Path,
		URI:     r.URL.RequestURI(),
		Headers: dispatcher.ForwardableHeaders(r.Header),
		Body:    body,
	}
	if ms, err := strconv.ParseInt(r.Header.Get(dispatcher.TimeoutHeader), 10, 64); err == nil && ms > 0 {
		in.Timeout = time.Duration(ms) * time.Millisecond
	}
	return in, nil
}

// UnreadableReply returns the reply to a request that ReadInbound failed to read with err.
func UnreadableReply(err error) broker.Reply {
	reply := broker.Reply{Outcome: retrier.NotRun, Code: "body-unreadable"}
	reply.Status = http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		reply.Code = broker.CodeBodyTooLarge
		reply.Status = http.StatusRequestEntityTooLarge
	}
	return reply
}

// errorBody is the JSON body of a reply that has a code.
type errorBody struct {
	Code         broker.Code `json:"code"`
	Outcome      string      `json:"outcome"`
	RetryAfterMS int64       `json:"retry-after-ms,omitempty"`
}

// WriteReply writes the reply as an HTTP response.
func WriteReply(c *gin.Context, reply broker.Reply) {
	h := c.Writer.Header()
	h.Set(OutcomeHeader, reply.Outcome.String())
	if reply.Code == broker.CodeNone {
		writeAnswer(c, reply)
		return
	}
	h.Set(CodeHeader, string(reply.Code))
	if reply.RetryAfter > 0 {
		seconds := (reply.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		h.Set(RetryAfterHeader, strconv.FormatInt(reply.RetryAfter.Milliseconds(), 10))
	}
	c.JSON(reply.Status, errorBody{
		Code:         reply.Code,
		Outcome:      reply.Outcome.String(),
		RetryAfterMS: reply.RetryAfter.Milliseconds(),
	})
}

func writeAnswer(c *gin.Context, reply broker.Reply) {
	h := c.Writer.Header()
	for _, line := range reply.Headers {
		h.Add(line.Name, line.Value)
	}
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	c.Status(reply.Status)
	c.Writer.WriteHeaderNow()
	_, _ = c.Writer.Write(reply.Body)
}
