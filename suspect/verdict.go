package suspect

import (
	"slices"
	"time"
)

const (
	// initialProbeDelay is the time from a verdict to its first probe. Each failed probe
	// multiplies the delay by probeDelayFactor, so that requests that were refused by mistake are
	// soon served again, and those that still crash servers crash few of them.
	initialProbeDelay = time.Minute
	probeDelayFactor  = 8
	// popularProbeDelay is the initial delay for a part with which requests were answered until
	// lately: a wrong verdict concerns many of them.
	popularProbeDelay = 5 * time.Second
	// maxProbeDelay bounds the delay.
	maxProbeDelay = 24 * time.Hour
	// renewalInterval is the time after which the lease of a verdict is renewed while requests
	// are refused.
	renewalInterval = Retention / 2
	// withdrawalDelay is how long it may take until the store reports a withdrawal.
	withdrawalDelay = 10 * time.Second
)

// verdict says that requests with a feature are refused.
type verdict struct {
	// lastProbe is when such a request was last sent as a probe, or when this node learned of the
	// verdict if that was later.
	lastProbe time.Time
	// renewedAt is when the entry in the store was last written or renewed, as far as known.
	renewedAt time.Time
	// provenAt is when this node had enough evidence of its own; zero if it has not.
	provenAt time.Time
	// learnedAt is when the store reported the verdict; zero if it has not.
	learnedAt time.Time
	// stored is whether the store holds the verdict.
	stored bool
	// probes is the number of probes since the verdict.
	probes int
}

// probeDelay returns the time from lastProbe to the next probe, given the initial delay.
func (v *verdict) probeDelay(initial time.Duration) time.Duration {
	delay := initial
	for probe := 0; probe < v.probes && delay < maxProbeDelay; probe++ {
		delay = min(probeDelayFactor*delay, maxProbeDelay)
	}
	return delay
}

// evidenceBefore returns a time before which all losses had occurred that led to a verdict of
// another node: it was written that much later at least.
func (v *verdict) evidenceBefore() time.Time { return v.learnedAt.Add(-localWriteDelay) }

// Refused returns those of a request's features for which it must not be sent to any server.
func (d *Detector) Refused(features Features) Features {
	d.mu.Lock()
	defer d.mu.Unlock()
	var refused Features
	for _, f := range features {
		if d.verdicts[f] != nil {
			refused = append(refused, f)
		}
	}
	return refused
}

// Refuses reports whether requests with a feature are refused.
func (d *Detector) Refuses(f Feature) bool { return len(d.Refused(Features{f})) > 0 }

// Redundant reports whether a feature is a content all of whose requests are refused for a part of
// their prompts.
func (d *Detector) Redundant(f Feature) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	losses := d.evidence.against[f]
	if len(losses) == 0 || !d.evidence.isContent(f) {
		return false
	}
	return !slices.ContainsFunc(losses, func(l *loss) bool { return !d.hasRefusedPart(l, f) })
}

// hasRefusedPart reports whether a lost request is refused for a part of its prompt other than f. The
// caller holds mu.
func (d *Detector) hasRefusedPart(l *loss, f Feature) bool {
	return slices.ContainsFunc(l.features.parts(), func(part Feature) bool {
		return part != f && d.verdicts[part] != nil
	})
}

// ProbeDue reports whether it is time to probe a verdict by sending a request once more.
// It returns true to one caller only, until the next delay has passed. The caller stores
// the returned number of probes before it sends the request.
func (d *Detector) ProbeDue(f Feature) (probes int, due bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, now := d.verdicts[f], d.timers.Steady()
	initial := initialProbeDelay
	if d.answeredParts.countedSince(f, now.Add(-Retention)) {
		initial = popularProbeDelay
	}
	if v == nil || now.Sub(v.lastProbe) < v.probeDelay(initial) {
		return 0, false
	}
	v.lastProbe = now
	return v.probes + 1, true
}

// RenewalDue reports whether it is time to renew the entry of a verdict in the store. It returns
// true to one caller only, until renewalInterval has passed.
func (d *Detector) RenewalDue(f Feature) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, now := d.verdicts[f], d.timers.Steady()
	if v == nil || !v.stored || now.Sub(v.renewedAt) < renewalInterval {
		return false
	}
	v.renewedAt = now
	return true
}

// endVerdict removes a verdict and records when. The caller holds mu.
func (d *Detector) endVerdict(f Feature) {
	delete(d.verdicts, f)
	d.withdrawnAt[f] = d.timers.Steady()
}

// ApplyStored applies a stored entry that refuses requests with a feature and counts its probes.
// It is called when the store reports the entry, and after writing it. Shortly after a withdrawal
// on this node such an entry is outdated, or soon will be, and is ignored. It returns true if an
// answer has begun here since the losses that the entry relies on, so that the entry must be
// withdrawn.
func (d *Detector) ApplyStored(f Feature, probes int) (contested bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, now := d.verdicts[f], d.timers.Steady()
	if at, ok := d.withdrawnAt[f]; v == nil && ok && now.Sub(at) < withdrawalDelay {
		return false
	}
	if v == nil {
		v = &verdict{lastProbe: now, learnedAt: now}
		if d.answeredSince(f, v.evidenceBefore()) {
			d.withdrawnAt[f] = now
			return true
		}
		d.verdicts[f] = v
	}
	v.stored, v.renewedAt = true, now
	if probes > v.probes {
		v.probes, v.lastProbe = probes, now
	}
	return false
}

// ApplyWithdrawn applies a stored withdrawal: a request has been answered, or the servers kept
// running.
func (d *Detector) ApplyWithdrawn(f Feature) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	cleared := d.evidence.clear(f, d.timers.Steady())
	if d.verdicts[f] != nil {
		d.endVerdict(f)
	}
	return d.review(featuresOf(cleared))
}

// ApplyExpired applies the removal of a verdict from the store. The verdict stays while
// this node has the evidence for it, since entries expire early during an outage of the
// store. It reports whether the verdict stays.
func (d *Detector) ApplyExpired(f Feature) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropExpired()
	v := d.verdicts[f]
	if v == nil {
		return false
	}
	v.stored = false
	if v.provenAt.IsZero() {
		delete(d.verdicts, f)
		return false
	}
	return true
}
