// Package settings reads the settings of one daemon from a file of JSON with
// comments. Unknown fields and invalid values are errors.
package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorvalve/doorvalve/coordination/retry"
	"github.com/doorvalve/doorvalve/state/bundle"
)

// Settings are the settings of a daemon that reads its configuration, the bundle,
// from the platform's object API. They hold what it needs before it has a bundle.
type Settings struct {
	Host          string    `json:"host"`
	FailureDomain string    `json:"failure_domain"`
	Callers       Callers   `json:"callers"`
	Peers         Peers     `json:"peers"`
	Operators     Operators `json:"operators"`
	Platform      Platform  `json:"platform"`
	Limits        Limits    `json:"limits"`
	Retries       Retries   `json:"retries"`
	LogLevel      string    `json:"log_level" reload:"applied"`
	// LeaseTerm is the time after which a placement lease expires without renewal.
	LeaseTerm bundle.Duration `json:"lease_term"`
	// FirstStart declares that the whole system starts for the first time. No daemon has held
	// a lease before, so a missing lease record was not lost by a restore of the platform.
	FirstStart bool `json:"first_start"`
}

// Callers configures the listener for callers.
type Callers struct {
	Listen string `json:"listen"`
}

// Peers configures the listener for other daemons.
type Peers struct {
	Listen string   `json:"listen"`
	Seeds  []string `json:"seeds,omitempty" reload:"applied"` // used in addition to the platform's host list
	// Token is a secret that all daemons share; calls without it are refused.
	// If it is empty, all calls are accepted: for trials on one host.
	Token string `json:"token,omitempty"`
}

// Operators configures the listener for operators.
type Operators struct {
	Listen string          `json:"listen"`
	Tokens []OperatorToken `json:"tokens" reload:"applied"`
	TLS    *TLS            `json:"tls,omitempty"`
}

// OperatorToken identifies an operator by the hash of a bearer token.
type OperatorToken struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
}

// TLS holds the names of the PEM files of a certificate and its key.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Platform holds the address of the platform and the time-out of calls to it.
type Platform struct {
	URL     string          `json:"url"`
	Timeout bundle.Duration `json:"timeout"`
}

// Limits bound the resources that callers can use.
type Limits struct {
	BodyBytes   int64 `json:"body_bytes"`
	HeaderBytes int   `json:"header_bytes"`
	AnswerBytes int64 `json:"answer_bytes"` // size of an answer that is not streamed
	QueueLength int   `json:"queue_length"` // waiting requests for each model
	Connections int   `json:"connections"`
}

// Retries bound the retries of all daemons together, at each service.
type Retries struct {
	Ratio float64 `json:"ratio" reload:"applied"` // retries as a fraction of the requests
	Extra float64 `json:"extra" reload:"applied"` // further retries within a window
	// Window is omitted for that of retry.DefaultLimit.
	Window bundle.Duration `json:"window,omitempty"`
}

// Limit returns the limit that the settings name.
func (r Retries) Limit() retry.Limit {
	return retry.Limit{Ratio: r.Ratio, Extra: r.Extra, Window: cmp.Or(r.Window.D(), retry.DefaultLimit.Window)}
}

// Default returns settings with a default for each optional value.
func Default() Settings {
	return Settings{
		LogLevel:  "info",
		LeaseTerm: bundle.Duration(6 * time.Second),
		Platform:  Platform{Timeout: bundle.Duration(2 * time.Second)},
		Retries:   Retries{Ratio: retry.DefaultLimit.Ratio, Extra: retry.DefaultLimit.Extra},
		Limits:    Limits{BodyBytes: 4 << 20, HeaderBytes: 32 << 10, AnswerBytes: 16 << 20, QueueLength: 256, Connections: 4096},
	}
}

// Load reads and checks a file. Invalid settings are returned all together, as
// bundle.Issues.
func Load(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, content)
}

// Parse reads and checks the content of a file, which errors refer to as file.
// Invalid settings are returned all together, as bundle.Issues.
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

// checker collects the issues of invalid settings.
type checker struct{ *bundle.Checker }

// minPeerToken is the least length of the daemons' shared secret, in bytes.
const minPeerToken = 16

// Bounds of the lease term. A shorter lease expires in ordinary pauses of its
// holder; a longer one leaves a group without a holder for too long after a crash.
const (
	minLeaseTerm = time.Second
	maxLeaseTerm = time.Minute
)

func (c checker) retries(r Retries) {
	c.Require(r.Ratio >= 0 && r.Extra >= 0 && r.Window.D() >= 0, "retries", "numbers of at least 0")
}

func (c checker) check(s Settings) {
	c.Require(s.Host != "", "host", "the name of this host")
	c.Require(s.FailureDomain != "", "failure_domain", "the failure domain of this host")
	c.Require(hclog.LevelFromString(s.LogLevel) != hclog.NoLevel, "log_level", "trace, debug, info, warn or error, found %q", s.LogLevel)
	c.Require(s.LeaseTerm.D() >= minLeaseTerm && s.LeaseTerm.D() <= maxLeaseTerm, "lease_term", "a duration from %s to %s", minLeaseTerm, maxLeaseTerm)
	c.retries(s.Retries)
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

// listeners checks the listeners' addresses, which must not overlap. Port 0 never
// overlaps, since each listener then gets a free port.
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

// ipHost reports whether the URL's host is an IP address, not a name.
func ipHost(u *url.URL) bool {
	_, err := netip.ParseAddr(u.Hostname())
	return err == nil
}
