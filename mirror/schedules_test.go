package mirror_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/mirror"
)

var scheduleCount = flag.Int("schedules", 60, "how many schedules TestSchedules draws")

const (
	// scheduleTime is how long a schedule lasts. Pauses between faults are up to
	// faultGap, faults up to faultTime long.
	scheduleTime = 25 * time.Second
	faultGap     = 800 * time.Millisecond
	faultTime    = 6 * time.Second
	// changeGap is the time between two changes of the store.
	changeGap = 150 * time.Millisecond
	// faultFreeTime is how long a node and the store must have been free of faults for
	// a change to be checked at that node.
	faultFreeTime = 3 * time.Second
	// entryTTL is how long the entry of a node without power remains.
	entryTTL = 5 * time.Second
)

// TestSchedules draws random faults that overlap in all ways: nodes of a data hall lose
// power, up to all of them at once, are cut off from the store, partitioned from their
// peers, or do not run; the store is down, or forgets its history. A node that had no
// fault for 3 s, while the store had none either, must know each change 2 s later. A
// partition from peers does not count as a fault of the node, and neither does a fault
// of other nodes. One failure it guards against: a node whose poll failed in an outage
// polls again only 10 s later, while its upstreams are down.
func TestSchedules(t *testing.T) {
	for seed := range uint64(*scheduleCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newSchedule(t, seed).run() })
		})
	}
}

// schedule plays one seed's faults.
type schedule struct {
	t      *testing.T
	h      *hall
	random *rand.Rand
	// lastFault holds by node when a fault last began, continued or ended.
	lastFault []time.Time
	// lastStoreFault is the same for the store.
	lastStoreFault time.Time
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	random := rand.New(rand.NewPCG(seed, 0))
	h := newHall(t, 2+random.IntN(24))
	return &schedule{t: t, h: h, random: random, lastFault: make([]time.Time, len(h.nodes))}
}

func (s *schedule) run() {
	advance(faultFreeTime)
	end := time.Now().Add(scheduleTime)
	go s.faults(end)
	for n := 0; time.Now().Before(end); n++ {
		key := fmt.Sprint("change-", n)
		s.h.store.put(key, false)
		go s.check(key, time.Now())
		time.Sleep(changeGap)
	}
	advance(faultTime + entryTTL + propagationLimit)
}

// faults begins faults until the end.
func (s *schedule) faults(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(s.random.Int64N(int64(faultGap))))
		duration := time.Duration(s.random.Int64N(int64(faultTime)))
		switch kind := s.random.IntN(7); kind {
		case 0, 1:
			s.powerOff(s.pickNodes(kind == 1), duration)
		case 2, 3:
			s.apply(s.h.cutOff, s.pickNodes(kind == 3), duration, true)
		case 4:
			s.apply(s.h.partitioned, s.pickNodes(false), duration, false)
		case 5:
			s.freeze(s.random.IntN(len(s.h.nodes)), duration)
		case 6:
			s.failStore(duration / 2)
		}
	}
}

// pickNodes returns one node, or the first ones of the data hall, which the others
// follow.
func (s *schedule) pickNodes(many bool) []int {
	if !many {
		return []int{s.random.IntN(len(s.h.nodes))}
	}
	var first []int
	for i := range 1 + s.random.IntN(len(s.h.nodes)) {
		first = append(first, i)
	}
	return first
}

// apply puts nodes into a state for some time; marked says that the fault exempts the
// nodes from checks.
func (s *schedule) apply(state map[int]bool, nodes []int, duration time.Duration, marked bool) {
	s.h.set(state, true, nodes...)
	go func() {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(changeGap) {
			if marked {
				s.markFault(nodes...)
			}
		}
		if marked {
			s.markFault(nodes...)
		}
		s.h.set(state, false, nodes...)
	}()
}

// powerOff cuts the power of nodes. Their entries expire later, and are back with the
// power.
func (s *schedule) powerOff(nodes []int, duration time.Duration) {
	s.apply(s.h.down, nodes, duration, true)
	if duration < entryTTL {
		return
	}
	go func() {
		time.Sleep(entryTTL)
		s.h.set(s.h.deregistered, true, nodes...)
		time.Sleep(duration - entryTTL)
		s.h.set(s.h.deregistered, false, nodes...)
	}()
}

// freeze stops a node's process for some time.
func (s *schedule) freeze(i int, duration time.Duration) {
	if s.h.isFrozen(i) {
		return
	}
	thaw := s.h.freeze(i)
	s.markFault(i)
	go func() {
		time.Sleep(duration)
		s.markFault(i)
		thaw()
	}()
}

// failStore makes the store fail for some time, or only forget its history.
func (s *schedule) failStore(duration time.Duration) {
	if s.random.IntN(2) == 0 {
		s.h.store.set(nil, false, true)
		return
	}
	s.h.store.set(errStore, false, false)
	go func() {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(changeGap) {
			s.markStoreFault()
		}
		s.markStoreFault()
		s.h.store.set(nil, false, false)
	}()
	s.markStoreFault()
}

func (s *schedule) markFault(nodes ...int) {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	for _, i := range nodes {
		s.lastFault[i] = time.Now()
	}
}

func (s *schedule) markStoreFault() {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	s.lastStoreFault = time.Now()
}

// check reports the nodes without recent faults that do not know a change in time.
func (s *schedule) check(key string, at time.Time) {
	time.Sleep(propagationLimit)
	s.h.mu.Lock()
	faultFree := func(last time.Time) bool { return at.Sub(last) > faultFreeTime }
	var checked []int
	for i := range s.lastFault {
		if faultFree(s.lastFault[i]) && faultFree(s.lastStoreFault) && s.h.frozen[i] == nil {
			checked = append(checked, i)
		}
	}
	s.h.mu.Unlock()
	for _, i := range checked {
		if _, ok := s.h.nodes[i].Get(key); !ok {
			s.t.Errorf("node %d of %d does not know %s of %s after %s; its copy is %s old", i, len(s.h.nodes), key, at.Format("05.000"), propagationLimit, s.h.nodes[i].Age())
		}
	}
}

// TestSkippedUpstreamFollowedAgain: an upstream that was skipped is followed again once
// it responds.
func TestSkippedUpstreamFollowedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, 12)
		advance(5 * time.Second)
		h.powerOff(0, 1)
		advance(10 * time.Second)
		h.set(h.down, false, 0, 1)
		advance(15 * time.Second)
		// Nodes that no longer reach the store still learn of changes from the first node.
		for i := range h.nodes[1:] {
			h.set(h.cutOff, true, i+1)
		}
		h.store.put("b", false)
		advance(time.Second)
		must.SliceEmpty(t, h.missing("b", 0))
		must.Less(t, propagationLimit, maxAge(h.nodes))
	})
}

// maxAge returns the greatest age of the copies of the nodes.
func maxAge(nodes []*mirror.Mirror) time.Duration {
	var age time.Duration
	for _, m := range nodes {
		age = max(age, m.Age())
	}
	return age
}
