// Package listener serves the target on the node's VM. It receives announcements, drain requests and child calls.
package listener

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/plantainwheel/plantainwheel/internal/caller/server"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/target/dispatcher"
)

// CallPrefix is the path prefix of child calls.
const CallPrefix = "/call"

// Announcement describes a target that has become ready.
type Announcement struct {
	Service string
	Address string
	// Slots is the number of requests that the target can run concurrently.
	Slots int
	// Connections is the maximum number of connections to the target.
	Connections int
	// WarmUp is the duration of the target's warm-up.
	WarmUp time.Duration
}

// Node receives announcements and drain requests of the target.
type Node interface {
	Announce(Announcement)
	Drain()
}

// Broker runs child calls.
type Broker interface {
	ServeChild(ctx context.Context, token string, in broker.Inbound) broker.Reply
}

// Listener serves the target on the node's VM.
type Listener struct {
	// Node receives announcements and drain requests.
	Node Node
	// Broker runs child calls.
	Broker Broker
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
}

// announcement is the JSON body of an announcement request.
type announcement struct {
	Service     string `json:"service" binding:"required"`
	Address     string `json:"address" binding:"required"`
	Slots       int    `json:"slots" binding:"required,min=1"`
	Connections int    `json:"connections" binding:"required,min=1"`
	ColdStartMS int64  `json:"cold-start-ms" binding:"min=0"`
}

// problem is the JSON body of an error response.
type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Handler returns the HTTP handler.
func (l *Listener) Handler() http.Handler {
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.POST("/v1/announce", l.announce)
	engine.POST("/v1/drain", l.drain)
	engine.NoRoute(l.childCall)
	return engine
}

func (l *Listener) announce(c *gin.Context) {
	var a announcement
	if err := c.ShouldBindJSON(&a); err != nil {
		c.JSON(http.StatusBadRequest, problem{"invalid-announcement", err.Error()})
		return
	}
	host, _, err := net.SplitHostPort(a.Address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		c.JSON(http.StatusBadRequest, problem{"invalid-announcement", "address, allowed: loopback IP number and port"})
		return
	}
	l.Node.Announce(Announcement{
		Service:     a.Service,
		Address:     a.Address,
		Slots:       a.Slots,
		Connections: a.Connections,
		WarmUp:      time.Duration(a.ColdStartMS) * time.Millisecond,
	})
	c.Status(http.StatusNoContent)
}

func (l *Listener) drain(c *gin.Context) {
	l.Node.Drain()
	c.Status(http.StatusNoContent)
}

func (l *Listener) childCall(c *gin.Context) {
	path, ok := strings.CutPrefix(c.Request.URL.Path, CallPrefix)
	if !ok {
		c.JSON(http.StatusNotFound, problem{"no-such-path", "allowed: /v1/announce, /v1/drain, /call/..."})
		return
	}
	c.Request.URL.Path = path
	c.Request.URL.RawPath = strings.TrimPrefix(c.Request.URL.RawPath, CallPrefix)
	token := c.GetHeader(dispatcher.ContextHeader)
	in, err := server.ReadInbound(c.Request, l.MaxBodyBytes)
	if err != nil {
		server.WriteReply(c, server.UnreadableReply(err))
		return
	}
	server.WriteReply(c, l.Broker.ServeChild(c.Request.Context(), token, in))
}
