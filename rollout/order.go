package rollout

import (
	"strconv"
	"strings"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/rendezvous"
)

// orderSeparator stands between a version and the order under which its answers are counted.
const orderSeparator = "#"

// countName returns the name under which the answers of a version are counted during the rollout of an order. A
// later rollout has names of its own: it is not judged by what was counted before.
func countName(version string, order int64) string {
	if order == 0 {
		return version
	}
	return version + orderSeparator + strconv.FormatInt(order, 36)
}

// splitName returns the version and the order of a name that countName returned.
func splitName(name string) (version string, order int64) {
	i := strings.LastIndex(name, orderSeparator)
	if i < 0 {
		return name, 0
	}
	order, err := strconv.ParseInt(name[i+len(orderSeparator):], 36, 64)
	if err != nil {
		return name, 0
	}
	return name[:i], order
}

// isInService reports whether a name is that of the servers which an order replaces.
func isInService(name string) bool {
	version, _ := splitName(name)
	return version == inServiceVersion
}

// declaredOrder returns the order of a rollout. One that is declared with its model, and not ordered, is named
// after its version.
func declaredOrder(r *config.Rollout) int64 {
	if r.Order == 0 && !r.Replace {
		return int64(rendezvous.Hash(r.Version) >> 1)
	}
	return r.Order
}

// Concerns reports whether the progress is that of a rollout. A version that was stopped is rolled out anew by a
// later order; an order for what is being rolled out, or has been, changes nothing.
func (p Progress) Concerns(r *config.Rollout) bool {
	if p.Version != r.Version {
		return false
	}
	return p.Verdict != VerdictStopped || p.Order == 0 || declaredOrder(r) == p.Order
}

// order returns the order under which the answers of a rollout are counted, given its progress if that is known.
func (p Progress) order(r *config.Rollout) int64 {
	if p.Order != 0 && p.Concerns(r) {
		return p.Order
	}
	return declaredOrder(r)
}
