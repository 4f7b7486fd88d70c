// Package server implements the operator API of a node: resources, state, events and the fencing of
// VMs that have stopped for good.
package server

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/follower"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

const (
	maxSpecBytes = 1 << 20
	// proposeTimeout limits the wait for the outcome of a proposed record.
	proposeTimeout = 5 * time.Second
	// settleTimeout limits the wait until an accepted change is in force everywhere, that is, until a
	// majority of the witnesses has applied it.
	settleTimeout = 5 * time.Second
)

// ChangeIDHeader carries the ID of a change, so that an operator can repeat the change safely.
const ChangeIDHeader = "Change-Id"

// Server serves the operator API.
type Server struct {
	// Follower holds the replicated state and proposes changes to it.
	Follower *follower.Follower
	// Roster holds the latest status reports of the nodes and their targets.
	Roster *roster.Roster
	// Events holds the recent events of this node.
	Events *recorder.Ring
	// Token is the operator token; if empty, requests are not authenticated.
	Token string
	// Self returns the member ID of this node.
	Self func() string
}

// reply is the body of the reply to a change, and of every error.
type reply struct {
	Code     string `json:"code"`
	ChangeID string `json:"change-id,omitempty"`
	// Version is the resource version after the change; after a conflict, the current version.
	Version int64  `json:"version,omitempty"`
	Message string `json:"message,omitempty"`
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	engine := gin.New()
	engine.Use(gin.Recovery(), s.authorize)
	engine.GET("/v1/resources", s.list)
	engine.GET("/v1/resources/:kind", s.list)
	engine.GET("/v1/resources/:kind/:name", s.get)
	engine.PUT("/v1/resources/:kind/:name", s.put)
	engine.DELETE("/v1/resources/:kind/:name", s.remove)
	engine.GET("/v1/watch", s.watch)
	engine.GET("/v1/state", s.state)
	engine.GET("/v1/events", s.events)
	engine.POST("/v1/fence/:vm", s.fence)
	return engine
}

func (s *Server) authorize(c *gin.Context) {
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if s.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
		c.AbortWithStatusJSON(http.StatusUnauthorized, reply{Code: "credential-missing-or-wrong"})
	}
}

type resourceList struct {
	Resources []reducer.Resource `json:"resources"`
	Offset    int64              `json:"offset"`
}

func (s *Server) list(c *gin.Context) {
	state := s.Follower.State()
	kind := reducer.Kind(c.Param("kind"))
	c.JSON(http.StatusOK, resourceList{Resources: state.List(kind), Offset: state.Offset})
}

func (s *Server) get(c *gin.Context) {
	id := reducer.ResourceID{Kind: reducer.Kind(c.Param("kind")), Name: c.Param("name")}
	r, ok := s.Follower.State().Resources[id]
	if !ok {
		c.JSON(http.StatusNotFound, reply{Code: "not-found"})
		return
	}
	c.JSON(http.StatusOK, r)
}

func (s *Server) put(c *gin.Context) {
	spec, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxSpecBytes))
	if err != nil {
		c.JSON(http.StatusRequestEntityTooLarge, reply{Code: "body-unreadable", Message: err.Error()})
		return
	}
	kind, name := reducer.Kind(c.Param("kind")), c.Param("name")
	if err := reducer.Validate(kind, name, spec); err != nil {
		c.JSON(http.StatusUnprocessableEntity, reply{Code: "invalid", Message: err.Error()})
		return
	}
	s.change(c, reducer.Change{Kind: kind, Name: name, Spec: spec})
}

func (s *Server) remove(c *gin.Context) {
	s.change(c, reducer.Change{Kind: reducer.Kind(c.Param("kind")), Name: c.Param("name"), Delete: true})
}

// change proposes a change and replies with its outcome. The code is "accepted" only after a majority of
// the witnesses has applied the change, and "recorded" if that takes longer than settleTimeout.
func (s *Server) change(c *gin.Context, change reducer.Change) {
	base, err := strconv.ParseInt(c.GetHeader("If-Match"), 10, 64)
	if err != nil && c.GetHeader("If-Match") != "" {
		c.JSON(http.StatusBadRequest, reply{Code: "invalid", Message: "If-Match, allowed: version number"})
		return
	}
	change.Base = base
	id := c.GetHeader(ChangeIDHeader)
	if id == "" {
		id = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), proposeTimeout)
	defer cancel()
	out, err := s.Follower.Propose(ctx, reducer.Record{ID: id, Change: &change})
	if err != nil {
		s.writeProposeError(c, id, err)
		return
	}
	s.writeOutcome(c, out)
}

func (s *Server) writeProposeError(c *gin.Context, id string, err error) {
	if errors.Is(err, follower.ErrUnavailable) {
		c.Header("Retry-After", "5")
		c.JSON(http.StatusServiceUnavailable, reply{Code: "not-recorded", ChangeID: id, Message: err.Error()})
		return
	}
	c.JSON(http.StatusGatewayTimeout, reply{
		Code: "unknown", ChangeID: id,
		Message: "the change may have been recorded: repeat it with the same " + ChangeIDHeader,
	})
}

func (s *Server) writeOutcome(c *gin.Context, out reducer.Outcome) {
	switch out.Status {
	case reducer.Accepted:
		s.writeAccepted(c, out)
	case reducer.Conflict:
		c.JSON(http.StatusConflict, reply{Code: "conflict", ChangeID: out.ID, Version: out.Current, Message: out.Reason})
	default:
		c.JSON(http.StatusUnprocessableEntity, reply{Code: "rejected", ChangeID: out.ID, Message: out.Reason})
	}
}

func (s *Server) writeAccepted(c *gin.Context, out reducer.Outcome) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), settleTimeout)
	defer cancel()
	if err := s.Follower.WaitSettled(ctx, out.Offset); err != nil {
		c.JSON(http.StatusAccepted, reply{
			Code: "recorded", ChangeID: out.ID, Version: out.Offset,
			Message: "recorded, and not known yet to be in force everywhere",
		})
		return
	}
	c.JSON(http.StatusOK, reply{Code: "accepted", ChangeID: out.ID, Version: out.Offset})
}

// watch streams resources as JSON lines: first all resources in force, then each one that changes or is
// deleted.
func (s *Server) watch(c *gin.Context) {
	c.Header("Content-Type", "application/jsonl")
	sent := map[reducer.ResourceID]int64{}
	enc := json.NewEncoder(c.Writer)
	for {
		changed := s.Follower.Changed()
		for _, line := range changes(s.Follower.State(), sent) {
			if err := enc.Encode(line); err != nil {
				return
			}
		}
		c.Writer.Flush()
		select {
		case <-c.Request.Context().Done():
			return
		case <-changed:
		}
	}
}

type watchLine struct {
	reducer.Resource
	Deleted bool `json:"deleted,omitempty"`
}

// changes returns the resources whose versions differ from those in sent, and updates sent.
func changes(state *reducer.State, sent map[reducer.ResourceID]int64) []watchLine {
	var lines []watchLine
	for _, r := range state.List("") {
		id := reducer.ResourceID{Kind: r.Kind, Name: r.Name}
		if sent[id] != r.Version {
			sent[id] = r.Version
			lines = append(lines, watchLine{Resource: r})
		}
	}
	for id := range sent {
		if _, ok := state.Resources[id]; !ok {
			delete(sent, id)
			gone := reducer.Resource{Kind: id.Kind, Name: id.Name, Version: state.Offset}
			lines = append(lines, watchLine{Resource: gone, Deleted: true})
		}
	}
	return lines
}

type stateView struct {
	Self              string               `json:"self"`
	Offset            int64                `json:"offset"`
	Settled           int64                `json:"settled"`
	Confirmed         bool                 `json:"confirmed"`
	PlatformReachable bool                 `json:"reading-platform"`
	Members           []reducer.Member     `json:"members"`
	Witnesses         reducer.WitnessState `json:"witnesses"`
	Targets           []targetView         `json:"targets"`
}

type targetView struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data-centre"`
	Service    string `json:"service"`
	InFlight   int    `json:"in-flight"`
	Queued     int    `json:"queued"`
	Limit      int    `json:"limit"`
	Level      int    `json:"level"`
	Draining   bool   `json:"draining"`
}

func (s *Server) state(c *gin.Context) {
	state := s.Follower.State()
	view := stateView{
		Self:              s.Self(),
		Offset:            state.Offset,
		Settled:           s.Follower.SettledOffset(),
		Confirmed:         s.Follower.Confirmed(),
		PlatformReachable: s.Follower.PlatformReachable(),
		Members:           state.MemberList(),
		Witnesses:         state.Witness,
	}
	for _, e := range s.Roster.Entries() {
		view.Targets = append(view.Targets, targetView{
			VM: e.VM, DataCentre: e.DataCentre, Service: e.Service, InFlight: e.InFlight,
			Queued: e.Queued, Limit: e.Limit, Level: e.Level, Draining: e.Draining,
		})
	}
	c.JSON(http.StatusOK, view)
}

func (s *Server) events(c *gin.Context) {
	c.JSON(http.StatusOK, s.Events.After(recorder.ParseTimestamp(c.Query("after"))))
}

// fence removes the node of a VM that an operator knows to have stopped for good.
func (s *Server) fence(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), proposeTimeout)
	defer cancel()
	for _, m := range s.Follower.State().MemberList() {
		if m.VM != c.Param("vm") {
			continue
		}
		rec := reducer.Record{ID: "fence-" + m.ID(), Fence: &reducer.Fence{Member: m.ID(), Ended: true}}
		out, err := s.Follower.Propose(ctx, rec)
		if err != nil {
			s.writeProposeError(c, rec.ID, err)
			return
		}
		s.writeOutcome(c, out)
		return
	}
	c.JSON(http.StatusNotFound, reply{Code: "not-found", Message: "no member on this VM"})
}
