package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// targetBusy is the share of the time for which servers are to be busy with prompts, and
	// maxBusy the share from which it is worth the price of reserved servers to have more. The
	// higher the share, the longer requests wait when several arrive at once.
	targetBusy = 0.35
	maxBusy    = 0.6
	// targetSlots and maxSlots are the same for the share of the slots that are in use. The
	// more of them are, the slower each request runs.
	targetSlots = 0.4
	maxSlots    = 0.8
	// growthFactor is how many more servers are ordered than needed, since load that rises
	// mostly rises on.
	growthFactor = 1.15
	// shrinkTime is the time in which a service without demand would lose all its servers:
	// load that has just fallen may rise again, and removed servers lose their caches.
	shrinkTime = 2 * time.Minute
	// refusalPause is how long a data hall that had no spot servers is not asked for any.
	refusalPause = 3 * time.Second
	// shrinkStep is the least relative fall of the number of spot servers that is ordered, so
	// that small changes of the load cause no orders.
	shrinkStep = 0.15
	// learnTime is how long load must have been observed until it alone decides.
	learnTime = 10 * time.Second
	// settleTime is how long a new planner removes nothing: the entries of servers that have just
	// started come in one by one.
	settleTime = 5 * time.Second
	// spareTime is how long reserved servers are kept after spot servers have replaced them.
	spareTime = 2 * time.Second
)

// Planner decides how many servers of a service are needed. It is not safe for concurrent
// use.
//
// The load pattern that it answers: load that jumps within seconds and falls slowly, and
// spot servers of which a whole data hall's go at once.
type Planner struct {
	service Service
	halls   []string
	// initial is the number of servers that ran at first. It counts until load has been
	// observed for learnTime.
	initial int
	// capacity is the number of servers that the load needs, updated at updated. At least
	// essential of them must run.
	capacity, essential float64
	updated             time.Time
	// started is when the first plan was made, loadedSince when there was load first.
	started, loadedSince time.Time
	// spot is the last number of spot servers in each data hall.
	spot int
	// refusedUntil holds by data hall until when no spot servers are ordered there.
	refusedUntil map[string]time.Time
	// startedUntil holds by data hall until when spot servers that were ordered count as
	// starting.
	startedUntil map[string]time.Time
	// reserved is the last number of reserved servers by data hall, and spareSince since when
	// fewer would do.
	reserved   map[string]int
	spareSince time.Time
}

// NewPlanner returns a planner that has planned nothing.
func NewPlanner(s Service) *Planner {
	p := &Planner{
		refusedUntil: make(map[string]time.Time),
		startedUntil: make(map[string]time.Time),
		reserved:     make(map[string]int),
	}
	p.Declare(s)
	return p
}

// Declare replaces the declaration of the service.
func (p *Planner) Declare(s Service) {
	p.service = s
	p.halls = p.halls[:0]
	for hall := range s.HallPrices {
		p.halls = append(p.halls, hall)
	}
	slices.SortFunc(p.halls, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.HallPrices[a], s.HallPrices[b]), cmp.Compare(a, b))
	})
}

// Resume makes the next plan go on from the servers that run, in place of those planned before.
func (p *Planner) Resume() { clear(p.reserved) }

// SpotRefused records that a data hall has no spot servers now.
func (p *Planner) SpotRefused(hall string, now time.Time) {
	p.refusedUntil[hall] = now.Add(refusalPause)
	delete(p.startedUntil, hall)
}

// SpotOrdered records that spot servers of a data hall have been ordered.
func (p *Planner) SpotOrdered(hall string, now time.Time) {
	p.startedUntil[hall] = now.Add(p.service.StartUp + p.service.WarmUp)
}

// Plan returns the orders that hold from now on, for all data halls, cheapest first.
func (p *Planner) Plan(now time.Time, pools map[string]Pool, d Demand) []Order {
	p.updateInitial(now, pools, d)
	p.updateCapacity(now, d)
	if spot := p.spotPerHall(); spot > p.spot || float64(spot) <= (1-shrinkStep)*float64(p.spot) {
		p.spot = spot
	}
	var orders []Order
	expected := 0
	for _, hall := range p.halls {
		if p.spot > 0 && !now.Before(p.refusedUntil[hall]) {
			orders = append(orders, Order{Service: p.service.Name, Hall: hall, Spot: true, Servers: p.spot})
		}
		expected += p.expectedSpot(hall, pools[hall], now)
	}
	return append(orders, p.planReserved(now, pools, expected)...)
}

// updateInitial counts the servers that run at first, and forgets them once the load is known.
func (p *Planner) updateInitial(now time.Time, pools map[string]Pool, d Demand) {
	if p.started.IsZero() {
		p.started = now
	}
	if p.loadedSince.IsZero() && d.Running > 0 {
		p.loadedSince = now
	}
	switch {
	case !p.loadedSince.IsZero() && now.Sub(p.loadedSince) >= learnTime:
		p.initial = 0
	case !p.settled(now):
		p.initial = max(p.initial, countInitial(pools, len(p.startedUntil) > 0))
	}
}

// countInitial returns the number of servers in all pools, without spot servers if some of them
// have been ordered meanwhile.
func countInitial(pools map[string]Pool, ordered bool) int {
	running := 0
	for _, pool := range pools {
		running += pool.Reserved
		if !ordered {
			running += pool.Spot
		}
	}
	return running
}

// updateCapacity raises the capacity to the demand at once and lowers it slowly.
func (p *Planner) updateCapacity(now time.Time, d Demand) {
	if !p.updated.IsZero() {
		p.capacity -= p.capacity * float64(now.Sub(p.updated)) / float64(shrinkTime)
	}
	p.updated = now
	slots := float64(max(1, p.service.Slots))
	if needed := math.Max(d.Busy/targetBusy, d.Running/(targetSlots*slots)); needed > p.capacity {
		p.capacity = growthFactor * needed
	}
	least, most := float64(max(1, p.service.Min*len(p.halls))), float64(p.service.Max*len(p.halls))
	p.capacity = math.Min(math.Max(p.capacity, least), most)
	p.essential = math.Min(math.Max(d.Busy/maxBusy, d.Running/(maxSlots*slots)), most)
}

// settled reports whether the servers that run are known.
func (p *Planner) settled(now time.Time) bool { return now.Sub(p.started) >= settleTime }

// withoutOneHall is the share of evenly spread servers that is left when one data hall loses
// its own.
func (p *Planner) withoutOneHall() float64 {
	if len(p.halls) < 2 {
		return 1
	}
	return float64(len(p.halls)-1) / float64(len(p.halls))
}

// spotPerHall returns how many spot servers each data hall should have, so that without those
// of any one hall the others suffice. It is zero if spot servers don't save anything.
func (p *Planner) spotPerHall() int {
	if p.service.SpotPrice <= 0 || p.service.SpotPrice >= p.withoutOneHall() || len(p.halls) == 0 {
		return 0
	}
	return min(max(p.perHall(), p.service.Min), p.service.Max)
}

// perHall returns how many servers each data hall should have.
func (p *Planner) perHall() int {
	halls := float64(len(p.halls))
	return int(math.Ceil(math.Max(float64(p.initial)/halls, p.capacity/p.withoutOneHall()/halls)))
}

// expectedSpot returns how many warm spot servers a data hall has or is about to have.
func (p *Planner) expectedSpot(hall string, pool Pool, now time.Time) int {
	warm := pool.Spot - pool.ColdSpot
	if p.reserved[hall] == 0 && now.Before(p.startedUntil[hall]) {
		// There is nothing that could be kept until they are warm.
		return max(warm, p.spot)
	}
	return warm
}

// planReserved returns the orders for reserved servers, next to the given number of spot
// servers. They are added where there would be fewer servers than essential, and removed only
// after more than the capacity have run for spareTime.
func (p *Planner) planReserved(now time.Time, pools map[string]Pool, spot int) []Order {
	essential, enough := int(math.Ceil(p.essential))-spot, max(0, p.perHall()*len(p.halls)-spot)
	have := 0
	for hall, pool := range pools {
		if _, planned := p.reserved[hall]; !planned || !p.settled(now) {
			p.reserved[hall] = max(p.reserved[hall], pool.Reserved)
		}
		have += p.reserved[hall]
	}
	switch {
	case essential > have:
		p.addReserved(pools, essential-have)
		fallthrough
	case enough >= have || !p.settled(now):
		p.spareSince = time.Time{}
	case p.spareSince.IsZero():
		p.spareSince = now
	case now.Sub(p.spareSince) >= spareTime:
		p.removeReserved(pools, have-enough)
	}
	orders := make([]Order, 0, len(p.halls))
	for _, hall := range p.halls {
		orders = append(orders, Order{Service: p.service.Name, Hall: hall, Servers: p.reserved[hall]})
	}
	return orders
}

// maxHallShare is how much more than its share of the reserved servers a cheap data hall gets.
const maxHallShare = 1.5

// addReserved plans more reserved servers, in the cheapest data halls that have room.
func (p *Planner) addReserved(pools map[string]Pool, count int) {
	if len(p.halls) == 0 {
		return
	}
	share := int(math.Ceil(maxHallShare * p.essential / float64(len(p.halls))))
	for _, hall := range p.halls {
		room := min(p.service.Max-pools[hall].Spot, share) - p.reserved[hall]
		added := max(0, min(count, room))
		p.reserved[hall] += added
		count -= added
	}
}

// removeReserved plans fewer reserved servers, the dearest data halls first. Each hall keeps
// the declared minimum while it has no spot servers.
func (p *Planner) removeReserved(pools map[string]Pool, count int) {
	for _, hall := range slices.Backward(p.halls) {
		least := max(0, p.service.Min-(pools[hall].Spot-pools[hall].ColdSpot))
		removed := max(0, min(count, p.reserved[hall]-least))
		p.reserved[hall] -= removed
		count -= removed
	}
}
