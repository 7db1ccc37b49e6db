package tunnel

import (
	"context"
	"net"
	"time"
)

const (
	// checkInterval is the time between two looks for ways that are silent.
	checkInterval = 200 * time.Millisecond
	// silentAfter is how long a way must have brought nothing, while data is awaited, to be
	// checked. It may also be that the server is busy, which a new connection tells.
	silentAfter = 400 * time.Millisecond
	// recheckInterval is the least time between two checks of a way.
	recheckInterval = time.Second
	// maxChecks is the number of ways that are checked at once.
	maxChecks = 4
	// checkTimeout bounds opening a tunnel to check its carrier.
	checkTimeout = time.Second
)

// target is a server, and the carrier through which connections reach it; "" for none.
type target struct{ server, carrier string }

// silence is what the open connections to one target have brought.
type silence struct {
	// lastRead is when any of them last received data or was opened, waitingSince since when one
	// of them awaits data; zero if none does.
	lastRead, waitingSince time.Time
}

// Run checks the ways that are silent, until the context ends.
func (d *Dialer) Run(ctx context.Context) {
	d.timers.Every(ctx, checkInterval, func() {
		for _, t := range d.silentTargets() {
			go d.check(ctx, t)
		}
		d.dropCarriers()
	})
}

// silentTargets returns the targets whose ways are due for a check.
func (d *Dialer) silentTargets() []target {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for t, at := range d.checks {
		if now.Sub(at) >= recheckInterval {
			delete(d.checks, t)
		}
	}
	var due []target
	for t, s := range d.silences() {
		if _, checked := d.checks[t]; checked || len(due) == maxChecks {
			continue
		}
		if !s.waitingSince.IsZero() && !s.lastRead.After(s.waitingSince) && now.Sub(s.waitingSince) >= silentAfter {
			d.checks[t] = now
			due = append(due, t)
		}
	}
	return due
}

// silences returns what the open connections to each target have brought. The caller holds mu.
func (d *Dialer) silences() map[target]silence {
	byTarget := make(map[target]silence)
	for c := range d.open {
		lastRead, waitingSince := c.times()
		t := target{c.server, c.carrier}
		s := byTarget[t]
		if lastRead.After(s.lastRead) {
			s.lastRead = lastRead
		}
		if !waitingSince.IsZero() && (s.waitingSince.IsZero() || waitingSince.Before(s.waitingSince)) {
			s.waitingSince = waitingSince
		}
		byTarget[t] = s
	}
	return byTarget
}

// check opens a new connection to a target, and closes it.
func (d *Dialer) check(ctx context.Context, t target) {
	if t.carrier == "" {
		if conn, err := d.DialContext(ctx, "tcp", t.server); err == nil {
			_ = conn.Close()
		}
		return
	}
	since := time.Now()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := d.carriers.peers.OpenTunnel(ctx, t.carrier, t.server)
	if err == nil {
		_ = conn.Close()
		return
	}
	d.closeIdle(func(conn net.Conn) bool {
		c, ok := conn.(*Conn)
		return ok && c.carrier == t.carrier && c.server == t.server && c.silentSince(since)
	})
}

// dropCarriers closes the idle tunnels through nodes that leave or are gone.
func (d *Dialer) dropCarriers() {
	if d.CountTunnels() == 0 {
		return
	}
	listed := d.carriers.retain()
	d.closeIdle(func(conn net.Conn) bool {
		c, ok := conn.(*Conn)
		return ok && c.carrier != "" && !listed[c.carrier]
	})
}
