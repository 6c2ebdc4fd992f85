// Package operators serves the operators' API: review and rollout of bundles, draining, status,
// metrics and the state dump.
package operators

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	rules "github.com/doorvalve/doorvalve/coordination/rollout"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/settings"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/transport/platform"
)

// Rollout changes the configuration; driver/rollout implements it.
type Rollout interface {
	Propose(ctx context.Context, content []byte, author, note string) (string, error)
	SignOff(ctx context.Context, digest, operator string) error
	Advance(ctx context.Context, digest string, expected uint64, operator string) (rules.Pointer, error)
	Pointer(ctx context.Context) (rules.Pointer, error)
	Content(ctx context.Context, digest string) (string, error)
	SetDrain(ctx context.Context, endpoint string, on bool, operator string) error
}

// Options configure a Server.
type Options struct {
	// Tokens returns the tokens of the operators.
	Tokens  func() []settings.OperatorToken
	Rollout Rollout
	Members func() []membership.Member
	// Dump returns the daemon's whole state as a value that marshals to JSON.
	Dump func() any
	// Stop begins a graceful shutdown of this daemon.
	Stop    func()
	Metrics http.Handler
	Log     *decisions.Log
}

// Server serves the operators' API. It is safe for concurrent use.
type Server struct{ opt Options }

// New returns a server.
func New(opt Options) *Server { return &Server{opt: opt} }

// operatorKey is the key of the operator's name in a request's echo context.
const operatorKey = "operator"

// Handler returns the handler of the operators' API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.Pre(detach)
	e.Use(s.authenticate)
	e.POST("/v1/bundles", s.propose)
	e.GET("/v1/bundles/:digest", s.content)
	e.POST("/v1/bundles/:digest/signoff", s.signOff)
	e.POST("/v1/rollout", s.rollout)
	e.GET("/v1/history", s.history)
	e.GET("/v1/status", s.status)
	e.POST("/v1/endpoints/:endpoint/drain", s.drain)
	e.POST("/v1/stop", s.stop)
	e.GET("/debug/state", func(c echo.Context) error { return c.JSON(http.StatusOK, s.opt.Dump()) })
	e.GET("/metrics", echo.WrapHandler(s.opt.Metrics))
	return e
}

// callTime bounds a call of an operator. Calls to the store have shorter times of their own.
const callTime = 30 * time.Second

// detach gives a call a context that does not end with the caller's bytes: net/http ends that of an operator who closes the sending side
// after the request and reads on. A change is then not left half done by a caller that has gone either.
func detach(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), callTime)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

// authenticate finds the operator of a request by its bearer token, and refuses requests without a
// known token. It compares all tokens, each in constant time.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		given := []byte(hex.EncodeToString(sum[:]))
		name := ""
		for _, t := range s.opt.Tokens() {
			if subtle.ConstantTimeCompare(given, []byte(t.TokenSHA256)) == 1 {
				name = t.Name
			}
		}
		if name == "" {
			return answer(c, protocol.Refuse(http.StatusUnauthorized, "unknown-operator", "a known operator's bearer token is needed", 0))
		}
		c.Set(operatorKey, name)
		return next(c)
	}
}

// operator returns the name of the operator of an authenticated request.
func operator(c echo.Context) string {
	name, _ := c.Get(operatorKey).(string)
	return name
}

// answer writes a refusal.
func answer(c echo.Context, r *protocol.Refusal) error {
	r.WriteTo(c.Response())
	return nil
}

// fail writes the problem for an error.
func fail(c echo.Context, err error) error {
	var issues bundle.Issues
	var conflict *rules.Conflict
	switch {
	case errors.As(err, &issues):
		return answer(c, protocol.Refuse(http.StatusUnprocessableEntity, "bundle-invalid", err.Error(), 0))
	case errors.As(err, &conflict):
		return answer(c, protocol.Refuse(http.StatusConflict, "rollout-conflict", err.Error(), 0))
	case errors.Is(err, platform.ErrNotFound):
		return answer(c, protocol.Refuse(http.StatusNotFound, "not-found", "there is no bundle with this digest", 0))
	case rules.Error.Has(err):
		return answer(c, protocol.Refuse(http.StatusForbidden, "rollout-refused", err.Error(), 0))
	default:
		return answer(c, protocol.RefuseMayHaveRun(http.StatusServiceUnavailable, "platform-unavailable", err.Error()))
	}
}

// ProposeResponse is the answer to a proposal of a bundle.
type ProposeResponse struct {
	Digest string `json:"digest"`
}

func (s *Server) propose(c echo.Context) error {
	content, err := io.ReadAll(io.LimitReader(c.Request().Body, bundle.MaxBytes+1))
	if err != nil {
		return fail(c, err)
	}
	digest, err := s.opt.Rollout.Propose(c.Request().Context(), content, operator(c), c.QueryParam("note"))
	if err != nil {
		return fail(c, err)
	}
	s.opt.Log.Info(decisions.EventProposed, "digest", rules.Short(digest), "operator", operator(c))
	return c.JSON(http.StatusCreated, ProposeResponse{Digest: digest})
}

func (s *Server) content(c echo.Context) error {
	text, err := s.opt.Rollout.Content(c.Request().Context(), c.Param("digest"))
	if err != nil {
		return fail(c, err)
	}
	return c.String(http.StatusOK, text)
}

func (s *Server) signOff(c echo.Context) error {
	if err := s.opt.Rollout.SignOff(c.Request().Context(), c.Param("digest"), operator(c)); err != nil {
		return fail(c, err)
	}
	s.opt.Log.Info(decisions.EventSignedOff, "digest", rules.Short(c.Param("digest")), "operator", operator(c))
	return c.NoContent(http.StatusNoContent)
}

// RolloutRequest is the request for a rollout of a bundle.
type RolloutRequest struct {
	Digest   string `json:"digest"`
	Expected uint64 `json:"expected_generation"` // the generation that the operator saw in force
}

func (s *Server) rollout(c echo.Context) error {
	var req RolloutRequest
	dec := json.NewDecoder(c.Request().Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return answer(c, protocol.Refuse(http.StatusBadRequest, "bad-request", err.Error(), 0))
	}
	p, err := s.opt.Rollout.Advance(c.Request().Context(), req.Digest, req.Expected, operator(c))
	if err != nil {
		return fail(c, err)
	}
	s.opt.Log.Info(decisions.EventRollout, "generation", p.Generation, "digest", rules.Short(p.Digest), "operator", operator(c))
	return c.JSON(http.StatusOK, p.Step)
}

func (s *Server) history(c echo.Context) error {
	p, err := s.opt.Rollout.Pointer(c.Request().Context())
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, p)
}

// Status lists the daemons and their generations, in the view of the daemon that answers.
type Status struct {
	Daemons []membership.Member `json:"daemons"`
}

func (s *Server) status(c echo.Context) error {
	return c.JSON(http.StatusOK, Status{Daemons: s.opt.Members()})
}

func (s *Server) drain(c echo.Context) error {
	on := c.QueryParam("on") != "false"
	if err := s.opt.Rollout.SetDrain(c.Request().Context(), c.Param("endpoint"), on, operator(c)); err != nil {
		return fail(c, err)
	}
	s.opt.Log.Info(decisions.EventEndpointDrain, "endpoint", c.Param("endpoint"), "on", on, "operator", operator(c))
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) stop(c echo.Context) error {
	s.opt.Log.Info(decisions.EventStopRequested, "operator", operator(c))
	s.opt.Stop()
	return c.NoContent(http.StatusAccepted)
}
