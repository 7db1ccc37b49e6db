package dispatch

import (
	"context"
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/session"
)

// target is what a model name in a request stands for: a cascade, or one model.
type target struct {
	cascade *config.Cascade
	models  []string
	// version is set if the client asked for one.
	version string
}

// resolve returns the target of a model name, and whether the account may use it.
func resolve(s *config.Snapshot, account *config.Account, name string) (target, bool) {
	if c := s.Cascade(name); c != nil {
		return target{cascade: c, models: c.Models}, slices.Contains(account.Models, name)
	}
	model, version, _ := strings.Cut(name, "@")
	m := s.Model(model)
	if m == nil {
		return target{}, false
	}
	t := target{models: []string{model}, version: version}
	for _, v := range m.Versions {
		if (version == "" || version == v.Name) && s.Allows(account, "", model, v.Name) {
			return t, true
		}
	}
	return target{}, false
}

// AllowedModels lists the names that an account may use: cascades, models and versions.
func AllowedModels(s *config.Snapshot, account *config.Account) []string {
	var names []string
	for _, c := range s.Cascades() {
		if slices.Contains(account.Models, c.Name) {
			names = append(names, c.Name)
		}
	}
	for _, m := range s.Models() {
		var versions []string
		for _, v := range m.Versions {
			if v.State != config.VersionWithdrawn && s.Allows(account, "", m.Name, v.Name) {
				versions = append(versions, m.Name+"@"+v.Name)
			}
		}
		if len(versions) > 0 {
			names = append(append(names, m.Name), versions...)
		}
	}
	return names
}

// chooseVersion chooses the version of a model that serves the request.
func (d *Dispatcher) chooseVersion(ctx context.Context, r *Request, t target, model string, record *decision.Record) (string, *Refusal) {
	s := d.Config()
	m := s.Model(model)
	if m == nil {
		return "", refuse(ReasonModelNotFound, RanNo, 0, "model %q is not declared any more", model)
	}
	if t.version != "" {
		return d.checkRequestedVersion(s, r, m, t.version, record)
	}
	allowed := func(version string) bool { return s.Allows(r.Account, t.cascadeName(), model, version) }
	pick := func() (string, error) {
		key := r.ID
		if r.Chat.Session != "" {
			key = r.Chat.Session
		}
		v, err := d.pickVersion(s, m, r.Account.Name+"/"+key, allowed)
		if err != nil {
			return "", err
		}
		return v.Name, nil
	}
	if r.Chat.Session == "" {
		version, err := pick()
		if err != nil {
			return "", refuse(ReasonNoVersion, RanNo, retryAfterLong, "%v", err)
		}
		record.AddStep("version", "%s@%s by roll-out stage", model, version)
		return version, nil
	}
	version, err := d.Pins.Version(ctx, session.Request{
		Region:  r.Account.HomeRegion(),
		Account: r.Account.Name,
		Session: r.Chat.Session,
		Model:   model,
		Pick:    pick,
		Usable:  func(version string) bool { return versionUsable(s, m, version) && allowed(version) },
		MayMove: m.MoveSessions,
	})
	if err != nil {
		return "", pinRefusal(err)
	}
	record.AddStep("version", "%s@%s by session pin", model, version)
	return version, nil
}

// pickVersion picks a version by the rollout's stage. A version that is being rolled out is
// replaced by the one in service while no server holds it.
func (d *Dispatcher) pickVersion(s *config.Snapshot, m *config.Model, key string, allowed func(string) bool) (*config.Version, error) {
	picked, err := d.Picker.Pick(m, key, allowed)
	if err != nil || picked.State != config.VersionRollingOut {
		return picked, err
	}
	if d.Chooser.Available(picked.Pool, s.Servers(picked.Pool), picked.EngineName(m.Name)) {
		return picked, nil
	}
	other, err := d.Picker.Pick(m, key, func(version string) bool { return version != picked.Name && allowed(version) })
	if err != nil {
		return picked, nil
	}
	return other, nil
}

func (t target) cascadeName() string {
	if t.cascade == nil {
		return ""
	}
	return t.cascade.Name
}

func pinRefusal(err error) *Refusal {
	switch {
	case errorx.IsOfType(err, session.Withdrawn):
		return refuse(ReasonVersionWithdrawn, RanNo, 0, "%v", err)
	case errorx.IsOfType(err, rollout.NoVersion):
		return refuse(ReasonNoVersion, RanNo, retryAfterLong, "%v", err)
	default:
		return refuse(ReasonClaimUnreachable, RanNo, retryAfterShort, "%v", err)
	}
}

// checkRequestedVersion checks a version that the client named. A retired version serves only
// the sessions that are pinned to it.
func (d *Dispatcher) checkRequestedVersion(s *config.Snapshot, r *Request, m *config.Model, version string, record *decision.Record) (string, *Refusal) {
	v := s.Version(m.Name, version)
	switch {
	case v == nil || !s.Allows(r.Account, "", m.Name, version):
		return "", refuse(ReasonModelNotFound, RanNo, 0, "%s@%s is not one that account %q may use", m.Name, version, r.Account.Name)
	case v.State == config.VersionWithdrawn:
		return "", refuse(ReasonVersionWithdrawn, RanNo, 0, "%s@%s is withdrawn", m.Name, version)
	case v.State == config.VersionRetired:
		return "", refuse(ReasonVersionWithdrawn, RanNo, 0, "%s@%s takes no new sessions", m.Name, version)
	}
	record.AddStep("version", "%s@%s as asked", m.Name, version)
	return version, nil
}

func versionUsable(s *config.Snapshot, m *config.Model, version string) bool {
	v := s.Version(m.Name, version)
	return v != nil && v.State != config.VersionWithdrawn
}

// recheckAllowed checks again, right before the request goes to a server, that the
// configuration in force allows it, since the request may have waited after its version was
// chosen.
func (d *Dispatcher) recheckAllowed(r *Request, t target, model, version string) (*config.Version, *Refusal) {
	s := d.Config()
	v := s.Version(model, version)
	account := s.Account(r.Account.Name)
	switch {
	case !d.ReceivesUpdates():
		return nil, refuse(ReasonCutOff, RanNo, retryAfterShort, "this node is cut off and may have missed a withdrawal; ask another")
	case account == nil || !s.Allows(account, t.cascadeName(), model, version):
		return nil, refuse(ReasonModelNotFound, RanNo, 0, "%s@%s is not one that account %q may use", model, version, r.Account.Name)
	case v == nil || v.State == config.VersionWithdrawn:
		return nil, refuse(ReasonVersionWithdrawn, RanNo, retryAfterShort, "%s@%s was withdrawn meanwhile", model, version)
	}
	return v, nil
}
