// Package listener takes announcements, drains and child calls from the target beside the node.
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

// CallPrefix starts the path of child calls.
const CallPrefix = "/call"

// Announcement is what a target says of itself when it is ready.
type Announcement struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	ColdStart   time.Duration
}

// Node takes what targets say.
type Node interface {
	Announce(Announcement)
	Drain()
}

// Broker takes child calls to their answers.
type Broker interface {
	Child(ctx context.Context, token string, in broker.Inbound) broker.Reply
}

// Listener answers the target beside the node.
type Listener struct {
	// Node takes announcements.
	Node Node
	// Broker takes child calls.
	Broker Broker
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes int64
}

type announcement struct {
	Service     string `json:"service" binding:"required"`
	Address     string `json:"address" binding:"required"`
	Slots       int    `json:"slots" binding:"required,min=1"`
	Connections int    `json:"connections" binding:"required,min=1"`
	ColdStartMS int64  `json:"cold-start-ms" binding:"min=0"`
}

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
	engine.NoRoute(l.child)
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
		ColdStart:   time.Duration(a.ColdStartMS) * time.Millisecond,
	})
	c.Status(http.StatusNoContent)
}

func (l *Listener) drain(c *gin.Context) {
	l.Node.Drain()
	c.Status(http.StatusNoContent)
}

func (l *Listener) child(c *gin.Context) {
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
		server.WriteReply(c, server.Unreadable(err))
		return
	}
	server.WriteReply(c, l.Broker.Child(c.Request.Context(), token, in))
}
