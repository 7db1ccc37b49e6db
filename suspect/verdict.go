package suspect

import "time"

const (
	// initialProbeDelay is the time from a verdict to its first probe. Each failed probe
	// doubles the delay, so that a request that was refused by mistake is soon served
	// again, and one that still crashes its server crashes few of them.
	initialProbeDelay = time.Minute
	// maxProbeDelay bounds the delay to less than Retention, so that a probe comes
	// before the verdict expires.
	maxProbeDelay = 8 * time.Minute
	// withdrawalDelay is how long it may take until the store reports a withdrawal.
	withdrawalDelay = 10 * time.Second
)

// verdict says that a request is refused.
type verdict struct {
	// lastProbe is when the request was last probed, or when this node learned of the
	// verdict if that was later.
	lastProbe time.Time
	// provenAt is when this node had enough evidence of its own; zero if it has not.
	provenAt time.Time
	// stored is whether the store holds the verdict.
	stored bool
	// probes is the number of probes since the verdict.
	probes int
}

// probeDelay returns the time from lastProbe to the next probe.
func (v *verdict) probeDelay() time.Duration {
	delay := initialProbeDelay
	for range v.probes {
		delay = min(2*delay, maxProbeDelay)
	}
	return delay
}

// Refuses reports whether a request must not be sent to any server.
func (d *Detector) Refuses(digest uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.verdicts[digest] != nil
}

// ProbeDue reports whether it is time to probe a verdict by sending the request once more.
// It returns true to one caller only, until the next delay has passed. The caller stores
// the returned number of probes before it sends the request.
func (d *Detector) ProbeDue(digest uint64) (probes int, due bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.verdicts[digest]
	if v == nil || d.timers.Steady().Sub(v.lastProbe) < v.probeDelay() {
		return 0, false
	}
	v.lastProbe = d.timers.Steady()
	return v.probes + 1, true
}

// endVerdict removes a verdict and records when. The caller holds mu.
func (d *Detector) endVerdict(digest uint64) {
	delete(d.verdicts, digest)
	d.withdrawnAt[digest] = d.timers.Steady()
}

// ApplyStored applies a stored entry that refuses a request and counts its probes. It
// is called when the store reports the entry, and after writing it. Shortly after a
// withdrawal on this node such an entry is outdated, or soon will be, and is ignored.
func (d *Detector) ApplyStored(digest uint64, probes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.verdicts[digest]
	if at, ok := d.withdrawnAt[digest]; v == nil && ok && d.timers.Steady().Sub(at) < withdrawalDelay {
		return
	}
	if v == nil {
		v = &verdict{lastProbe: d.timers.Steady()}
		d.verdicts[digest] = v
	}
	v.stored = true
	if probes > v.probes {
		v.probes, v.lastProbe = probes, d.timers.Steady()
	}
}

// ApplyWithdrawn applies a stored withdrawal: the request has been answered, or its
// servers kept running. It reports whether the request was refused here.
func (d *Detector) ApplyWithdrawn(digest uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clearRequest(digest) == ClearedVerdict
}

// ApplyExpired applies the removal of a verdict from the store. The verdict stays while
// this node has the evidence for it, since entries expire early during an outage of the
// store. It reports whether the verdict stays.
func (d *Detector) ApplyExpired(digest uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropExpired()
	v := d.verdicts[digest]
	if v == nil {
		return false
	}
	v.stored = false
	if v.provenAt.IsZero() {
		delete(d.verdicts, digest)
		return false
	}
	return true
}
