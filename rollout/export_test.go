package rollout

import "github.com/violettally/violettally/config"

// CountKey returns the key in Counts of a version of a model, or of the servers of a service, during its rollout.
func CountKey(m *config.Model, version string) string {
	return countKey(m.Name, countName(version, declaredOrder(m.Rollout)))
}
