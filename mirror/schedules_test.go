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
	// scheduleTime is how long a schedule lasts, with a fault up to every faultGap, each
	// up to faultTime long.
	scheduleTime = 25 * time.Second
	faultGap     = 800 * time.Millisecond
	faultTime    = 6 * time.Second
	// changeGap lies between two changes of the store.
	changeGap = 150 * time.Millisecond
	// faultFreeTime must have passed since the last harm to a node for it to be judged.
	faultFreeTime = 3 * time.Second
	// entryTTL is how long the entry of a node without power stays.
	entryTTL = 5 * time.Second
)

// TestSchedules draws faults that meet in all ways: nodes of a hall lose power, half of
// them at once, are cut off from the store or parted from their peers, or do not run;
// the store is away, or forgets its history. A node to which nothing was done for 3 s,
// while the store was well as long, knows each change 2 s later. Being parted from peers
// is no excuse, nor is what becomes of others. It found that a node which had looked in
// vain in an outage looked again only 10 s later, while those it followed were gone
// ("node 22 of 24 … its news is 7.388626178s old").
func TestSchedules(t *testing.T) {
	for seed := range uint64(*scheduleCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newSchedule(t, seed).run() })
		})
	}
}

// schedule is one seed's faults.
type schedule struct {
	t      *testing.T
	h      *hall
	random *rand.Rand
	// lastFault is when something was last done to a node, or still is.
	lastFault []time.Time
	// lastStoreFault is the same of the store.
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

// faults begins faults until the time is over.
func (s *schedule) faults(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(s.random.Int64N(int64(faultGap))))
		lasts := time.Duration(s.random.Int64N(int64(faultTime)))
		switch kind := s.random.IntN(7); kind {
		case 0, 1:
			s.powerOff(s.pickNodes(kind == 1), lasts)
		case 2, 3:
			s.apply(s.h.cutOff, s.pickNodes(kind == 3), lasts, true)
		case 4:
			s.apply(s.h.partitioned, s.pickNodes(false), lasts, false)
		case 5:
			s.freeze(s.random.IntN(len(s.h.nodes)), lasts)
		case 6:
			s.failStore(lasts / 2)
		}
	}
}

// pickNodes returns one node, or the first ones of the hall, whom the others follow.
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

// apply puts nodes into a state for some time.
func (s *schedule) apply(state map[int]bool, nodes []int, lasts time.Duration, harms bool) {
	s.h.set(state, true, nodes...)
	go func() {
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(changeGap) {
			if harms {
				s.markFault(nodes...)
			}
		}
		if harms {
			s.markFault(nodes...)
		}
		s.h.set(state, false, nodes...)
	}()
}

// powerOff lets nodes lose power. Their entries go later, and are back with them.
func (s *schedule) powerOff(nodes []int, lasts time.Duration) {
	s.apply(s.h.down, nodes, lasts, true)
	if lasts < entryTTL {
		return
	}
	go func() {
		time.Sleep(entryTTL)
		s.h.set(s.h.deregistered, true, nodes...)
		time.Sleep(lasts - entryTTL)
		s.h.set(s.h.deregistered, false, nodes...)
	}()
}

// freeze lets a node not run.
func (s *schedule) freeze(i int, lasts time.Duration) {
	if s.h.isFrozen(i) {
		return
	}
	thaw := s.h.freeze(i)
	s.markFault(i)
	go func() {
		time.Sleep(lasts)
		s.markFault(i)
		thaw()
	}()
}

// failStore lets the store fail, or only forget its history.
func (s *schedule) failStore(lasts time.Duration) {
	if s.random.IntN(2) == 0 {
		s.h.store.set(nil, false, true)
		return
	}
	s.h.store.set(errStore, false, false)
	go func() {
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(changeGap) {
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

// check looks whether all nodes in touch know a change in time.
func (s *schedule) check(key string, at time.Time) {
	time.Sleep(propagationLimit)
	s.h.mu.Lock()
	calm := func(last time.Time) bool { return at.Sub(last) > faultFreeTime }
	var judged []int
	for i := range s.lastFault {
		if calm(s.lastFault[i]) && calm(s.lastStoreFault) && s.h.frozen[i] == nil {
			judged = append(judged, i)
		}
	}
	s.h.mu.Unlock()
	for _, i := range judged {
		if _, ok := s.h.nodes[i].Get(key); !ok {
			s.t.Errorf("node %d of %d does not know %s of %s after %s, its news is %s old", i, len(s.h.nodes), key, at.Format("05.000"), propagationLimit, s.h.nodes[i].Age())
		}
	}
}

// TestOnlyFirstIsFollowed: whoever is passed over is followed again once it answers.
func TestSkippedUpstreamFollowedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, 12)
		advance(5 * time.Second)
		h.powerOff(0, 1)
		advance(10 * time.Second)
		h.set(h.down, false, 0, 1)
		advance(15 * time.Second)
		// All but the first do not reach the store any more, and hear all the same.
		for i := range h.nodes[1:] {
			h.set(h.cutOff, true, i+1)
		}
		h.store.put("b", false)
		advance(time.Second)
		must.SliceEmpty(t, h.missing("b", 0))
		must.Less(t, propagationLimit, maxAge(h.nodes))
	})
}

// maxAge returns the greatest age of news.
func maxAge(nodes []*mirror.Mirror) time.Duration {
	var age time.Duration
	for _, m := range nodes {
		age = max(age, m.Age())
	}
	return age
}
