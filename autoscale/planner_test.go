package autoscale_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/autoscale"
)

// declared is a service with 20 servers in each of four data halls.
var declared = autoscale.Service{
	Name: "models", Min: 1, Max: 46, StartUp: 4 * time.Second, WarmUp: 3 * time.Second, Slots: 32, SpotPrice: 0.15,
	HallPrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
}

// simulation replays a load pattern against a planner and a platform that starts and removes
// servers as ordered.
type simulation struct {
	planner *autoscale.Planner
	now     time.Time
	pools   map[string]autoscale.Pool
	// spot holds by data hall when each spot server is warm, reserved the number of others.
	spot     map[string][]time.Time
	reserved map[string]int
	// dry holds the data halls that have no spot servers.
	dry    map[string]bool
	orders int
}

func newSimulation(reserved int) *simulation {
	s := &simulation{
		planner: autoscale.NewPlanner(declared), now: time.Unix(1000, 0),
		pools: make(map[string]autoscale.Pool), spot: make(map[string][]time.Time), reserved: make(map[string]int),
		dry: make(map[string]bool),
	}
	for hall := range declared.HallPrices {
		s.pools[hall] = autoscale.Pool{Reserved: reserved}
		s.reserved[hall] = reserved
	}
	return s
}

// run lets seconds pass under a constant demand.
func (s *simulation) run(seconds int, d autoscale.Demand) {
	for range seconds {
		s.now = s.now.Add(time.Second)
		for hall := range s.pools {
			s.pools[hall] = autoscale.Pool{Reserved: s.reserved[hall], Spot: s.warmSpot(hall)}
		}
		for _, o := range s.planner.Plan(s.now, s.pools, d) {
			s.order(o)
		}
	}
}

func (s *simulation) order(o autoscale.Order) {
	switch {
	case o.Spot && s.dry[o.Hall]:
		s.planner.SpotRefused(o.Hall, s.now)
	case o.Spot && len(s.spot[o.Hall]) != o.Servers:
		s.orders++
		for len(s.spot[o.Hall]) < o.Servers {
			s.spot[o.Hall] = append(s.spot[o.Hall], s.now.Add(declared.StartUp+declared.WarmUp))
		}
		s.spot[o.Hall] = s.spot[o.Hall][:o.Servers]
		s.planner.SpotOrdered(o.Hall, s.now)
	case !o.Spot && s.reserved[o.Hall] != o.Servers:
		s.orders++
		s.reserved[o.Hall] = o.Servers
	}
}

// reclaim takes away all spot servers of a data hall, with none to be had for now.
func (s *simulation) reclaim(hall string) {
	s.spot[hall] = nil
	s.dry[hall] = true
}

// warmSpot returns the number of a data hall's spot servers that are warm.
func (s *simulation) warmSpot(hall string) int {
	warm := 0
	for _, at := range s.spot[hall] {
		if !s.now.Before(at) {
			warm++
		}
	}
	return warm
}

// warm returns the number of servers that serve.
func (s *simulation) warm() int {
	total := 0
	for hall := range s.pools {
		total += s.reserved[hall] + s.warmSpot(hall)
	}
	return total
}

func (s *simulation) totalReserved() int {
	total := 0
	for _, n := range s.reserved {
		total += n
	}
	return total
}

// TestSpotReplacesReserved checks that spot servers take the place of reserved ones, that
// there are never fewer servers than before meanwhile, and that any one data hall's may go.
func TestSpotReplacesReserved(t *testing.T) {
	s := newSimulation(20)
	for range 30 {
		s.run(1, autoscale.Demand{})
		must.GreaterEq(t, 60, s.warm())
	}
	must.Less(t, 10, s.totalReserved())
	must.Less(t, 30, s.orders, must.Sprint("few orders"))
	s.reclaim("b")
	must.GreaterEq(t, 60, s.warm())
}

// TestLoadJump checks that servers are added at once when load jumps, and removed slowly.
func TestLoadJump(t *testing.T) {
	s := newSimulation(20)
	s.run(30, autoscale.Demand{Busy: 10, Running: 200})
	before := s.warm()
	s.run(10, autoscale.Demand{Busy: 24, Running: 900})
	raised := s.warm()
	must.Greater(t, before, raised)
	must.GreaterEq(t, 96, raised)
	orders := s.orders
	s.run(10, autoscale.Demand{Busy: 10, Running: 200})
	must.GreaterEq(t, 90, s.warm())
	must.Less(t, orders+5, s.orders, must.Sprint("servers come and go"))
}

// TestSpotServersGone checks that reserved servers replace spot servers that were taken away
// and can't be had again, and go again once they can.
func TestSpotServersGone(t *testing.T) {
	s := newSimulation(20)
	load := autoscale.Demand{Busy: 25, Running: 500}
	s.run(30, load)
	for _, hall := range []string{"a", "b", "d"} {
		s.reclaim(hall)
	}
	s.run(10, load)
	must.GreaterEq(t, 40, s.warm())
	must.Greater(t, 10, s.totalReserved())
	clear(s.dry)
	s.run(30, load)
	must.Less(t, 10, s.totalReserved())
}

// TestNoSpotServers checks that a service without spot servers keeps what it needs.
func TestNoSpotServers(t *testing.T) {
	service := declared
	service.SpotPrice = 0
	p := autoscale.NewPlanner(service)
	pools := map[string]autoscale.Pool{"a": {Reserved: 10}, "b": {Reserved: 10}, "c": {Reserved: 10}, "d": {Reserved: 10}}
	total := 0
	for _, o := range p.Plan(time.Unix(1, 0), pools, autoscale.Demand{Busy: 30}) {
		must.False(t, o.Spot)
		must.GreaterEq(t, service.Min, o.Servers)
		must.LessEq(t, service.Max, o.Servers)
		total += o.Servers
	}
	must.GreaterEq(t, 50, total)
}
