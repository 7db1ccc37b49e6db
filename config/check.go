package config

import (
	"fmt"
	"net/url"
	"regexp"
	"strings"

	"github.com/violettally/violettally/internal/strictjson"
)

// namePattern restricts names to what is safe in keys, paths and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// checkReferences validates what the JSON types cannot express: unique names,
// references to declared objects, and ranges of numbers.
func checkReferences(c *Config, report strictjson.Report) {
	k := &checker{Config: c, report: report}
	k.buildIndex()
	k.checkKeys()
	for i := range c.Accounts {
		k.checkAccount(fmt.Sprintf("/accounts/%d", i), &c.Accounts[i])
	}
	for i := range c.Models {
		k.checkModel(fmt.Sprintf("/models/%d", i), &c.Models[i])
	}
	for i := range c.Cascades {
		k.checkCascade(fmt.Sprintf("/cascades/%d", i), &c.Cascades[i])
	}
	for i := range c.Pools {
		k.checkPool(fmt.Sprintf("/pools/%d", i), &c.Pools[i])
	}
	for i := range c.Services {
		k.checkService(fmt.Sprintf("/services/%d", i), &c.Services[i])
	}
	k.checkEvacuatedHalls()
}

type checker struct {
	*Config
	report   strictjson.Report
	models   map[string]*Model
	cascades map[string]bool
	pools    map[string]bool
	services map[string]bool
}

func (k *checker) buildIndex() {
	k.models = make(map[string]*Model)
	k.cascades = make(map[string]bool)
	k.pools = make(map[string]bool)
	k.services = make(map[string]bool)
	accounts, operators, callable := k.newNameCheck("accounts"), k.newNameCheck("operators"), k.newNameCheck("models and cascades")
	pools, services := k.newNameCheck("pools"), k.newNameCheck("services")
	for i, a := range k.Accounts {
		accounts(fmt.Sprintf("/accounts/%d", i), a.Name)
	}
	for i, o := range k.Operators {
		operators(fmt.Sprintf("/operators/%d", i), o.Name)
	}
	for i := range k.Models {
		callable(fmt.Sprintf("/models/%d", i), k.Models[i].Name)
		k.models[k.Models[i].Name] = &k.Models[i]
	}
	for i, c := range k.Cascades {
		callable(fmt.Sprintf("/cascades/%d", i), c.Name)
		k.cascades[c.Name] = true
	}
	for i, p := range k.Pools {
		pools(fmt.Sprintf("/pools/%d", i), p.Name)
		k.pools[p.Name] = true
	}
	for i, s := range k.Services {
		services(fmt.Sprintf("/services/%d", i), s.Name)
		k.services[s.Name] = true
	}
}

// newNameCheck returns a function that checks that a name is well formed and
// unique among the names of its kind.
func (k *checker) newNameCheck(kind string) func(path, name string) {
	seen := make(map[string]bool)
	return func(path, name string) {
		if !namePattern.MatchString(name) {
			k.report(path+"/name", "name %q: want 1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit", name)
		}
		if seen[name] {
			k.report(path+"/name", "name %q stands twice among the %s", name, kind)
		}
		seen[name] = true
	}
}

func (k *checker) checkKeys() {
	owner := make(map[string]string)
	check := func(path, name string, digests []string) {
		for i, digest := range digests {
			at := fmt.Sprintf("%s/keys/%d", path, i)
			if !ValidDigest(digest) {
				k.report(at, "want a digest as printed by `violettally digest`, sha256: and 64 hex digits")
				continue
			}
			if other, taken := owner[digest]; taken {
				k.report(at, "the key belongs to %s already", other)
			}
			owner[digest] = name
		}
	}
	for i, a := range k.Accounts {
		check(fmt.Sprintf("/accounts/%d", i), "account "+a.Name, a.Keys)
	}
	for i, o := range k.Operators {
		check(fmt.Sprintf("/operators/%d", i), "operator "+o.Name, o.Keys)
	}
}

func (k *checker) checkAccount(path string, a *Account) {
	for i, ref := range a.Models {
		model, version, pinned := strings.Cut(ref, "@")
		at := fmt.Sprintf("%s/models/%d", path, i)
		switch {
		case k.cascades[model] && !pinned:
		case k.models[model] == nil:
			k.report(at, "no model or cascade %q is declared", model)
		case pinned && k.models[model].version(version) == nil:
			k.report(at, "model %q has no version %q", model, version)
		}
	}
	for i, s := range a.Services {
		if !k.services[s] {
			k.report(fmt.Sprintf("%s/services/%d", path, i), "no service %q is declared", s)
		}
	}
	for name, value := range map[string]float64{
		"requests_per_second": a.Limits.RequestsPerSecond,
		"burst":               float64(a.Limits.Burst),
	} {
		if value < 0 {
			k.report(path+"/limits/"+name, "want zero or more")
		}
	}
}

func (k *checker) checkModel(path string, m *Model) {
	if len(m.Versions) == 0 {
		k.report(path+"/versions", "model %q has no version", m.Name)
	}
	names := k.newNameCheck("versions of " + m.Name)
	inService := 0
	for i, v := range m.Versions {
		at := fmt.Sprintf("%s/versions/%d", path, i)
		names(at, v.Name)
		k.checkPoolName(at, v.Pool)
		if v.PromptPrice < 0 || v.CompletionPrice < 0 {
			k.report(at, "prices must be zero or more")
		}
		if v.State == VersionInService {
			inService++
		}
		if v.State == VersionRollingOut && (m.Rollout == nil || m.Rollout.Version != v.Name) {
			k.report(at+"/state", "version %q is rolling out, but no rollout names it", v.Name)
		}
	}
	if inService > 1 {
		k.report(path+"/versions", "model %q has %d versions in service; one at most", m.Name, inService)
	}
	if m.Rollout != nil {
		k.checkRollout(path+"/rollout", m)
	}
}

func (k *checker) checkRollout(path string, m *Model) {
	r := m.Rollout
	v := m.version(r.Version)
	if v == nil {
		k.report(path+"/version", "model %q has no version %q", m.Name, r.Version)
	} else if v.State != VersionRollingOut {
		k.report(path+"/version", "version %q is %s; only a version that is rolling_out can have a rollout", v.Name, v.State)
	}
	if len(r.Stages) == 0 {
		k.report(path+"/stages", "a rollout needs a stage")
	}
	last := 0.0
	for i, s := range r.Stages {
		at := fmt.Sprintf("%s/stages/%d", path, i)
		if s.Share <= last || s.Share > 1 {
			k.report(at+"/share", "want a share above %g and at most 1", last)
		}
		if s.MinSamples < 0 || s.MinSeconds < 0 {
			k.report(at, "min_samples and min_seconds must be zero or more")
		}
		last = s.Share
	}
	k.checkFraction(path+"/guards/bad_rating", r.Guards.BadRating)
	k.checkFraction(path+"/guards/max_bad_increase", r.Guards.MaxBadIncrease)
	k.checkFraction(path+"/guards/false_alarm", r.Guards.FalseAlarmRate)
}

func (k *checker) checkCascade(path string, c *Cascade) {
	if len(c.Models) < 2 {
		k.report(path+"/models", "a cascade needs two models or more, cheapest first")
	}
	for i, name := range c.Models {
		if k.models[name] == nil {
			k.report(fmt.Sprintf("%s/models/%d", path, i), "no model %q is declared", name)
		}
	}
	k.checkFraction(path+"/min_rating", c.MinRating)
	k.checkFraction(path+"/quality_target", c.QualityTarget)
}

func (k *checker) checkPool(path string, p *Pool) {
	names := k.newNameCheck("servers of " + p.Name)
	k.checkFraction(path+"/retry_budget", p.RetryBudget)
	for i, s := range p.Servers {
		at := fmt.Sprintf("%s/servers/%d", path, i)
		names(at, s.Name)
		u, err := url.Parse(s.URL)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			k.report(at+"/url", "want an http or https URL, found %q", s.URL)
		}
		if s.Slots < 1 {
			k.report(at+"/slots", "want 1 or more")
		}
	}
}

// checkEvacuatedHalls reports evacuated data halls that no server declares, since a misspelt
// name would evacuate nothing.
func (k *checker) checkEvacuatedHalls() {
	halls := make(map[string]bool)
	for _, p := range k.Pools {
		for _, s := range p.Servers {
			halls[s.DataHall] = true
		}
	}
	for i, hall := range k.EvacuatedHalls {
		if hall == "" || !halls[hall] {
			k.report(fmt.Sprintf("/evacuated_halls/%d", i), "no server is declared in data hall %q", hall)
		}
	}
}

func (k *checker) checkService(path string, s *Service) {
	k.checkPoolName(path, s.Pool)
	for i, c := range s.Calls {
		at := fmt.Sprintf("%s/calls/%d", path, i)
		if c.Method == "" || strings.ToUpper(c.Method) != c.Method {
			k.report(at+"/method", "want an HTTP method in capitals, found %q", c.Method)
		}
		if !strings.HasPrefix(c.Path, "/") {
			k.report(at+"/path", "want a path that starts with a slash, found %q", c.Path)
		}
		if c.ClaimSeconds < 0 {
			k.report(at+"/claim_seconds", "want zero or more")
		}
	}
}

func (k *checker) checkPoolName(path, pool string) {
	if !k.pools[pool] {
		k.report(path+"/pool", "no pool %q is declared", pool)
	}
}

func (k *checker) checkFraction(path string, value float64) {
	if value < 0 || value > 1 {
		k.report(path, "want a number from 0 to 1, found %g", value)
	}
}
