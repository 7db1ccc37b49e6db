package rollout

import "github.com/violettally/violettally/config"

// CountKey returns the key in Counts of a version of a model, or of the servers of a service, during its rollout.
func CountKey(m *config.Model, version string) string {
	return countKey(m.Name, countName(version, declaredOrder(m.Rollout)))
}

// Position returns where a session stands among all, from 0 to 1; a share moves those below it.
func Position(model, key string) float64 { return position(model, key) }

// Count counts a response that has taken the sample's time, as if it had been awaited.
func (s *ServicePicker) Count(service, name string, sample Sample) {
	a := &Awaited{services: s, service: service, name: name}
	a.markSlow(sample)
	s.count(service, name, sample)
}
