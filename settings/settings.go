// Package settings reads the settings of one daemon: JSON with comments,
// strict, checked at load.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/state/bundle"
)

// Settings are what a daemon knows before it has seen any bundle.
type Settings struct {
	Host          string    `json:"host"`
	FailureDomain string    `json:"failure_domain"`
	Callers       Callers   `json:"callers"`
	Peers         Peers     `json:"peers"`
	Operators     Operators `json:"operators"`
	Platform      Platform  `json:"platform"`
	Limits        Limits    `json:"limits"`
	LogLevel      string    `json:"log_level"`
	// LeaseTerm is the life of a placement lease without renewal.
	LeaseTerm bundle.Duration `json:"lease_term"`
	// FirstStart says that the whole system starts for the first time: nobody has held a lease
	// before, which a restored platform could have lost.
	FirstStart bool `json:"first_start"`
}

// Callers is the listener for callers.
type Callers struct {
	Listen string `json:"listen"`
}

// Peers is the listener for other daemons.
type Peers struct {
	Listen string   `json:"listen"`
	Seeds  []string `json:"seeds,omitempty"` // used beside the platform's host list
	// Token is a secret that all daemons share; a call without it is refused.
	// Empty leaves the listener open, for trials on one machine.
	Token string `json:"token,omitempty"`
}

// Operators is the listener for operators.
type Operators struct {
	Listen string          `json:"listen"`
	Tokens []OperatorToken `json:"tokens"`
	TLS    *TLS            `json:"tls,omitempty"`
}

// OperatorToken names an operator by the hash of a bearer token.
type OperatorToken struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
}

// TLS names a certificate and its key as PEM files.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Platform says where the platform is.
type Platform struct {
	URL     string          `json:"url"`
	Timeout bundle.Duration `json:"timeout"`
}

// Limits bound what callers can take.
type Limits struct {
	BodyBytes   int64 `json:"body_bytes"`
	HeaderBytes int   `json:"header_bytes"`
	AnswerBytes int64 `json:"answer_bytes"` // of an answer that is not streamed
	QueueLength int   `json:"queue_length"` // for each model
	Connections int   `json:"connections"`
}

// Default returns settings with every optional value set.
func Default() Settings {
	return Settings{
		LogLevel:  "info",
		LeaseTerm: bundle.Duration(6 * time.Second),
		Platform:  Platform{Timeout: bundle.Duration(2 * time.Second)},
		Limits:    Limits{BodyBytes: 4 << 20, HeaderBytes: 32 << 10, AnswerBytes: 16 << 20, QueueLength: 256, Connections: 4096},
	}
}

// Load reads and checks a file. Faults come back all at once, as
// bundle.Issues.
func Load(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, content)
}

// Parse reads and checks settings.
func Parse(file string, content []byte) (Settings, error) {
	s := Default()
	lines, err := bundle.DecodeStrict(file, content, &s)
	if err != nil {
		return s, err
	}
	c := checker{bundle.NewChecker(file, lines)}
	c.check(s)
	if issues := c.Issues(); len(issues) > 0 {
		return s, issues
	}
	return s, nil
}

// checker checks settings.
type checker struct{ *bundle.Checker }

// minPeerToken is the least length of the daemons' shared secret.
const minPeerToken = 16

// Bounds of the lease term: shorter ones lapse in ordinary pauses, longer
// ones leave a group without a holder for too long.
const (
	minLeaseTerm = time.Second
	maxLeaseTerm = time.Minute
)

func (c checker) check(s Settings) {
	c.Require(s.Host != "", "host", "the name of this host")
	c.Require(s.FailureDomain != "", "failure_domain", "the failure domain of this host")
	c.Require(hclog.LevelFromString(s.LogLevel) != hclog.NoLevel, "log_level", "trace, debug, info, warn or error, found %q", s.LogLevel)
	c.Require(s.LeaseTerm.D() >= minLeaseTerm && s.LeaseTerm.D() <= maxLeaseTerm, "lease_term", "a duration from %s to %s", minLeaseTerm, maxLeaseTerm)
	c.listeners(s)
	c.Require(s.Peers.Token == "" || len(s.Peers.Token) >= minPeerToken, "peers.token", "a secret of at least %d characters, or none", minPeerToken)
	for i, seed := range s.Peers.Seeds {
		_, err := netip.ParseAddrPort(seed)
		c.Require(err == nil, fmt.Sprintf("peers.seeds[%d]", i), "an IP number and a port, found %q", seed)
	}
	u, err := url.Parse(s.Platform.URL)
	c.Require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && ipHost(u), "platform.url", "an http or https URL with an IP number, found %q", s.Platform.URL)
	c.Require(s.Platform.Timeout.D() > 0 && s.Platform.Timeout.D() < s.LeaseTerm.D(), "platform.timeout", "a duration above 0 and below lease_term")
	c.Require(s.Limits.BodyBytes > 0, "limits.body_bytes", "a number above 0")
	c.Require(s.Limits.HeaderBytes > 0, "limits.header_bytes", "a number above 0")
	c.Require(s.Limits.AnswerBytes > 0, "limits.answer_bytes", "a number above 0")
	c.Require(s.Limits.QueueLength > 0, "limits.queue_length", "a number above 0")
	c.Require(s.Limits.Connections > 0, "limits.connections", "a number above 0")
	names := map[string]bool{}
	for i, t := range s.Operators.Tokens {
		at := fmt.Sprintf("operators.tokens[%d]", i)
		c.Require(t.Name != "" && !names[t.Name], at+".name", "a name of its own")
		c.Require(len(t.TokenSHA256) == 64, at+".token_sha256", "the SHA-256 of the token in hex")
		names[t.Name] = true
	}
	if t := s.Operators.TLS; t != nil {
		c.Require(t.Cert != "" && t.Key != "", "operators.tls", "both cert and key")
	}
}

func (c checker) listeners(s Settings) {
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct{ path, address string }{
		{"callers.listen", s.Callers.Listen}, {"peers.listen", s.Peers.Listen}, {"operators.listen", s.Operators.Listen},
	} {
		addr, err := netip.ParseAddrPort(l.address)
		c.Require(err == nil, l.path, "an IP number and a port, found %q", l.address)
		if err != nil || addr.Port() == 0 {
			continue
		}
		for other, path := range seen {
			overlap := other.Port() == addr.Port() && (other.Addr() == addr.Addr() || other.Addr().IsUnspecified() || addr.Addr().IsUnspecified())
			c.Require(!overlap, l.path, "an address of its own; %s overlaps", path)
		}
		seen[addr] = l.path
	}
}

func ipHost(u *url.URL) bool {
	_, err := netip.ParseAddr(u.Hostname())
	return err == nil
}
