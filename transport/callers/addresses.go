package callers

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/doorvalve/doorvalve/coordination/drain"
	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/protocol"
)

// Address is the address of a daemon that a caller may use.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Addresses is the answer to GET /v1/addresses, best address first.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	TTLMs     int64     `json:"ttl_ms"`
}

// MaxAddresses bounds the addresses in an answer.
const MaxAddresses = 8

// addresses serves the ranked daemons: those in the caller's failure domain (query parameter
// "domain") first, then by load, then in an order that depends on the caller's address, so that
// callers don't all use the same daemon.
func (s *Server) addresses(c echo.Context) error {
	conf := s.opt.Config()
	if conf == nil {
		protocol.Refuse(http.StatusServiceUnavailable, "no-configuration", "this daemon has no configuration yet", retryAfterStart).WriteTo(c.Response())
		return nil
	}
	list := Rank(s.opt.Members(), c.QueryParam("domain"), c.RealIP(), s.opt.Self, s.opt.Phase() == drain.Serving)
	return c.JSON(http.StatusOK, Addresses{Addresses: list, TTLMs: conf.Bundle.AddressTTL.D().Milliseconds()})
}

// Rank returns the addresses of members in the order of preference for a caller, without those that
// can't serve. self is left out unless serving is true.
func Rank(members []membership.Member, domain, caller, self string, serving bool) []Address {
	usable := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.Status != membership.Alive || m.Leaving || m.Generation == 0 || m.ID == self && !serving
	})
	otherDomain := func(m membership.Member) int {
		if m.FailureDomain == domain {
			return 0
		}
		return 1
	}
	spread := func(m membership.Member) uint64 { return xxhash.Sum64String(caller + m.ID) }
	slices.SortFunc(usable, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(otherDomain(a), otherDomain(b)), cmp.Compare(a.Load, b.Load), cmp.Compare(spread(a), spread(b)))
	})
	usable = usable[:min(len(usable), MaxAddresses)]
	list := make([]Address, len(usable))
	for i, m := range usable {
		list[i] = Address{Address: m.CallerAddress, FailureDomain: m.FailureDomain}
	}
	return list
}

// model is one entry of GET /v1/models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Root    string `json:"root,omitempty"` // the base model of an adapter
	Version string `json:"version"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (s *Server) models(c echo.Context) error {
	conf := s.opt.Config()
	list := modelList{Object: "list", Data: []model{}}
	if conf != nil {
		for _, u := range conf.Bundle.Units() {
			list.Data = append(list.Data, model{ID: u.Name, Object: "model", Root: u.Base, Version: u.Version})
		}
	}
	return c.JSON(http.StatusOK, list)
}
