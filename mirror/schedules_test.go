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
	// touchTime must have passed since the last harm to a node for it to be judged.
	touchTime = 3 * time.Second
	// entryTime is how long the entry of a node without power stays.
	entryTime = 5 * time.Second
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
			synctest.Test(t, func(t *testing.T) { newSchedule(t, seed).play() })
		})
	}
}

// schedule is one seed's faults.
type schedule struct {
	t      *testing.T
	h      *hall
	random *rand.Rand
	// harmed is when something was last done to a node, or still is.
	harmed []time.Time
	// store is the same of the store.
	store time.Time
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	random := rand.New(rand.NewPCG(seed, 0))
	h := newHall(t, 2+random.IntN(24))
	return &schedule{t: t, h: h, random: random, harmed: make([]time.Time, len(h.nodes))}
}

func (s *schedule) play() {
	settle(touchTime)
	end := time.Now().Add(scheduleTime)
	go s.faults(end)
	for n := 0; time.Now().Before(end); n++ {
		key := fmt.Sprint("change-", n)
		s.h.store.put(key, false)
		go s.judge(key, time.Now())
		time.Sleep(changeGap)
	}
	settle(faultTime + entryTime + learnTime)
}

// faults begins faults until the time is over.
func (s *schedule) faults(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(s.random.Int64N(int64(faultGap))))
		lasts := time.Duration(s.random.Int64N(int64(faultTime)))
		switch kind := s.random.IntN(7); kind {
		case 0, 1:
			s.power(s.some(kind == 1), lasts)
		case 2, 3:
			s.apply(s.h.cut, s.some(kind == 3), lasts, true)
		case 4:
			s.apply(s.h.parted, s.some(false), lasts, false)
		case 5:
			s.freeze(s.random.IntN(len(s.h.nodes)), lasts)
		case 6:
			s.away(lasts / 2)
		}
	}
}

// some returns one node, or the first ones of the hall, whom the others follow.
func (s *schedule) some(many bool) []int {
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
				s.harm(nodes...)
			}
		}
		if harms {
			s.harm(nodes...)
		}
		s.h.set(state, false, nodes...)
	}()
}

// power lets nodes lose power. Their entries go later, and are back with them.
func (s *schedule) power(nodes []int, lasts time.Duration) {
	s.apply(s.h.silent, nodes, lasts, true)
	if lasts < entryTime {
		return
	}
	go func() {
		time.Sleep(entryTime)
		s.h.set(s.h.gone, true, nodes...)
		time.Sleep(lasts - entryTime)
		s.h.set(s.h.gone, false, nodes...)
	}()
}

// freeze lets a node not run.
func (s *schedule) freeze(i int, lasts time.Duration) {
	if s.h.isFrozen(i) {
		return
	}
	thaw := s.h.freeze(i)
	s.harm(i)
	go func() {
		time.Sleep(lasts)
		s.harm(i)
		thaw()
	}()
}

// away lets the store fail, or only forget its history.
func (s *schedule) away(lasts time.Duration) {
	if s.random.IntN(2) == 0 {
		s.h.store.set(nil, false, true)
		return
	}
	s.h.store.set(errStore, false, false)
	go func() {
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(changeGap) {
			s.harmStore()
		}
		s.harmStore()
		s.h.store.set(nil, false, false)
	}()
	s.harmStore()
}

func (s *schedule) harm(nodes ...int) {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	for _, i := range nodes {
		s.harmed[i] = time.Now()
	}
}

func (s *schedule) harmStore() {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	s.store = time.Now()
}

// judge looks whether all nodes in touch know a change in time.
func (s *schedule) judge(key string, at time.Time) {
	time.Sleep(learnTime)
	s.h.mu.Lock()
	calm := func(last time.Time) bool { return at.Sub(last) > touchTime }
	var judged []int
	for i := range s.harmed {
		if calm(s.harmed[i]) && calm(s.store) && s.h.frozen[i] == nil {
			judged = append(judged, i)
		}
	}
	s.h.mu.Unlock()
	for _, i := range judged {
		if _, ok := s.h.nodes[i].Get(key); !ok {
			s.t.Errorf("node %d of %d does not know %s of %s after %s, its news is %s old", i, len(s.h.nodes), key, at.Format("05.000"), learnTime, s.h.nodes[i].Age())
		}
	}
}

// TestOnlyFirstIsFollowed: whoever is passed over is followed again once it answers.
func TestOnlyFirstIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, 12)
		settle(5 * time.Second)
		h.silence(0, 1)
		settle(10 * time.Second)
		h.set(h.silent, false, 0, 1)
		settle(15 * time.Second)
		// All but the first do not reach the store any more, and hear all the same.
		for i := range h.nodes[1:] {
			h.set(h.cut, true, i+1)
		}
		h.store.put("b", false)
		settle(time.Second)
		must.SliceEmpty(t, h.without("b", 0))
		must.Less(t, learnTime, slowest(h.nodes))
	})
}

// slowest returns the greatest age of news.
func slowest(nodes []*mirror.Mirror) time.Duration {
	var age time.Duration
	for _, m := range nodes {
		age = max(age, m.Age())
	}
	return age
}
