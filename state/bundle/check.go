package bundle

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits on the values of a bundle.
const (
	MaxAddressTTL = 5 * time.Minute
	MaxShards     = 256
	maxNameLen    = 128
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)
var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Checker collects the faults of a file with their lines.
type Checker struct {
	file   string
	lines  *Lines
	issues Issues
}

// NewChecker returns a checker for a file that DecodeStrict has read.
func NewChecker(file string, lines *Lines) *Checker { return &Checker{file: file, lines: lines} }

// Require records a fault at path unless ok is true; format states what was expected.
func (c *Checker) Require(ok bool, path, format string, args ...any) {
	if ok {
		return
	}
	c.issues = append(c.issues, Issue{File: c.file, Line: c.lines.LineOf(path), Field: path, Want: fmt.Sprintf(format, args...)})
}

// Issues returns the faults found.
func (c *Checker) Issues() Issues { return c.issues }

// checker checks a bundle.
type checker struct{ *Checker }

// names checks that names are well formed and unique.
func (c checker) names(kind string, seen map[string]string, path, name string) {
	c.Require(len(name) <= maxNameLen && namePattern.MatchString(name), path, "a %s name of letters, digits and ._:-, found %q", kind, name)
	if other, dup := seen[name]; dup {
		c.Require(false, path, "a unique name; %q stands at %s too", name, other)
	}
	seen[name] = path
}

func check(b *Bundle, file string, lines *Lines) Issues {
	c := checker{NewChecker(file, lines)}
	c.Require(b.Format == Format, "format", "%d", Format)
	c.Require(len(b.FailureDomains) > 0, "failure_domains", "at least one failure domain")
	c.Require(b.AddressTTL.D() >= time.Second && b.AddressTTL.D() <= MaxAddressTTL, "address_ttl", "a duration from 1s to %s", MaxAddressTTL)
	c.classes(b)
	c.Require(b.Claims.Shards >= 1 && b.Claims.Shards <= MaxShards, "claims.shards", "a number from 1 to %d", MaxShards)
	c.Require(b.Claims.Retention.D() >= time.Minute, "claims.retention", "a duration of 1m or more")
	c.policy(b.Policy)
	c.services(b)
	c.units(b)
	return c.Issues()
}

func (c checker) classes(b *Bundle) {
	c.Require(len(b.Classes) > 0, "classes", "at least one class")
	seen := map[string]string{}
	for i, class := range b.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		c.names("class", seen, path+".name", class.Name)
		c.Require(class.Worth >= 0, path+".worth", "a worth of 0 or more")
		c.Require(class.Timeout.D() > 0 && class.Timeout.D() <= b.Claims.Retention.D(), path+".timeout", "a duration above 0 and up to claims.retention")
	}
	c.Require(b.DefaultClass == "" || b.Class(b.DefaultClass) != nil, "default_class", "the name of a class, found %q", b.DefaultClass)
	c.Require(b.DefaultClass != "" || len(b.Callers)+len(b.Workspaces) > 0, "callers", "callers, workspaces, or a default_class for callers without a token")
	callers := map[string]string{}
	tokens := map[string]string{}
	for i, caller := range b.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		c.names("caller", callers, path+".name", caller.Name)
		c.Require(b.Class(caller.Class) != nil, path+".class", "the name of a class, found %q", caller.Class)
		c.Require(sha256Pattern.MatchString(caller.TokenSHA256), path+".token_sha256", "the SHA-256 of the token in lower-case hex")
		other, dup := tokens[caller.TokenSHA256]
		c.Require(!dup, path+".token_sha256", "a token of its own; %s has the same", other)
		tokens[caller.TokenSHA256] = path
	}
	for i, w := range b.Workspaces {
		c.workspace(b, fmt.Sprintf("workspaces[%d]", i), w, callers, tokens)
	}
}

// workspace checks one workspace. Its name and keys must differ from those of callers and other
// workspaces: callers and tokens hold the names and keys listed before it.
func (c checker) workspace(b *Bundle, path string, w Workspace, callers, tokens map[string]string) {
	c.names("workspace", callers, path+".name", w.Name)
	c.Require(b.Class(w.Class) != nil, path+".class", "the name of a class, found %q", w.Class)
	c.Require(len(w.KeysSHA256) > 0, path+".keys_sha256", "at least one key")
	for i, key := range w.KeysSHA256 {
		at := fmt.Sprintf("%s.keys_sha256[%d]", path, i)
		c.Require(sha256Pattern.MatchString(key), at, "the SHA-256 of the key in lower-case hex")
		other, dup := tokens[key]
		c.Require(!dup, at, "a key of its own; %s has the same", other)
		tokens[key] = at
	}
	if w.Quota != nil {
		c.Require(w.Quota.RequestsPerSecond > 0, path+".quota.requests_per_second", "a number above 0")
		c.Require(w.Quota.Burst >= 1, path+".quota.burst", "a number of 1 or more")
	}
}

func (c checker) policy(p Policy) {
	c.Require(p.ColdStartWeight > 0, "policy.cold_start_weight", "a number above 0")
	c.Require(p.IdleWeight > 0, "policy.idle_weight", "a number above 0")
	c.Require(p.MinIdle >= 0, "policy.min_idle", "a duration of 0 or more")
	c.Require(p.MaxIdle >= p.MinIdle && p.MaxIdle > 0, "policy.max_idle", "a duration of min_idle or more")
	c.Require(p.LoadsAtOnce >= 1, "policy.loads_at_once", "1 or more")
	c.Require(p.LoadsPerSecond > 0, "policy.loads_per_second", "a number above 0")
}

func (c checker) services(b *Bundle) {
	seen, endpoints, addresses := map[string]string{}, map[string]string{}, map[string]string{}
	for i, s := range b.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.names("service", seen, path+".name", s.Name)
		c.Require(s.Kind == KindEngine || s.Kind == KindPlain, path+".kind", `"engine" or "plain", found %q`, s.Kind)
		c.Require(s.Mode == ModeScripts || s.Mode == ModeWatched || s.Mode == ModeManaged, path+".mode", `"scripts", "watched" or "managed", found %q`, s.Mode)
		c.Require(len(s.Endpoints) > 0, path+".endpoints", "at least one endpoint")
		c.Require(s.Kind == KindPlain || len(s.NonRepeatable) == 0, path+".non_repeatable", "none for an engine service")
		for j, r := range s.NonRepeatable {
			at := fmt.Sprintf("%s.non_repeatable[%d]", path, j)
			c.Require(r.Method != "" && r.Method == strings.ToUpper(r.Method), at+".method", "an HTTP method in upper case, found %q", r.Method)
			c.Require(strings.HasPrefix(r.Path, "/"), at+".path", "a path that starts with /, found %q", r.Path)
		}
		for j, e := range s.Endpoints {
			at := fmt.Sprintf("%s.endpoints[%d]", path, j)
			c.names("endpoint", endpoints, at+".name", e.Name)
			c.endpoint(b, s, at, e)
			other, dup := addresses[e.Address]
			c.Require(!dup, at+".address", "an address of its own; %s has the same", other)
			addresses[e.Address] = at
		}
	}
}

func (c checker) endpoint(b *Bundle, s Service, at string, e Endpoint) {
	addr, err := netip.ParseAddrPort(e.Address)
	c.Require(err == nil && addr.Port() != 0, at+".address", "an IP number and a port, found %q", e.Address)
	c.Require(slices.Contains(b.FailureDomains, e.FailureDomain), at+".failure_domain", "one of failure_domains, found %q", e.FailureDomain)
	c.Require(e.Slots >= 1, at+".slots", "1 or more")
	if s.Kind != KindEngine {
		return
	}
	c.Require(e.MemoryMiB > 0, at+".memory_mib", "the accelerator memory, above 0")
	c.Require(e.KVReserveMiB >= 0 && e.KVReserveMiB < e.MemoryMiB, at+".kv_reserve_mib", "0 or more and less than memory_mib")
}

func (c checker) units(b *Bundle) {
	seen := map[string]string{}
	models := map[string]Model{}
	for i, m := range b.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.names("model", seen, path+".name", m.Name)
		models[m.Name] = m
		s := b.Service(m.Service)
		c.Require(s != nil && s.Kind == KindEngine, path+".service", "the name of an engine service, found %q", m.Service)
		c.unit(path, m.Version, m.MemoryMiB, m.Load, m.MaxReplicas)
		c.Require(m.MinReplicas >= 0 && m.MinReplicas <= m.MaxReplicas, path+".min_replicas", "0 to max_replicas")
		for _, d := range m.FailureDomains {
			c.Require(slices.Contains(b.FailureDomains, d), path+".failure_domains", "members of failure_domains, found %q", d)
		}
		c.Require(s == nil || fitsSomewhere(s, m.MemoryMiB), path+".memory_mib", "a size that fits an endpoint of %s", m.Service)
	}
	for i, a := range b.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		c.names("adapter", seen, path+".name", a.Name)
		_, ok := models[a.Base]
		c.Require(ok, path+".base", "the name of a model, found %q", a.Base)
		c.unit(path, a.Version, a.MemoryMiB, a.Load, a.MaxReplicas)
	}
}

func (c checker) unit(path, version string, memory int64, load Duration, maxReplicas int) {
	c.Require(version != "", path+".version", "a version")
	c.Require(memory > 0, path+".memory_mib", "a size above 0")
	c.Require(load > 0, path+".load", "a duration above 0")
	c.Require(maxReplicas >= 1, path+".max_replicas", "1 or more")
}

func fitsSomewhere(s *Service, memory int64) bool {
	return len(s.Endpoints) == 0 || slices.ContainsFunc(s.Endpoints, func(e Endpoint) bool {
		return memory <= e.MemoryMiB-e.KVReserveMiB
	})
}
