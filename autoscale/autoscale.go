// Package autoscale decides how many servers of a service run in each data hall, and orders
// them from the platform.
//
// A service declares how many servers each of its data halls may have, and what they cost.
// Servers are either reserved, or spot servers: these are cheap, but all those of a hall may
// be taken away together, and at times there are none to be had.
//
// A [Planner] decides, apart from input and output. A [Controller] carries the plan out on
// the node that holds the lease. It keeps nothing in the store: the next holder sees from the
// servers' entries what runs, and orders what is missing.
//
// # Usage
//
//	demand := autoscale.NewDemandMeter()
//	demand.Add(now, process, work) // from time to time, for each node
//	c := autoscale.NewController(autoscale.Options{…})
//	go c.Run(ctx)
package autoscale

import (
	"time"

	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("autoscale")

	// NoneAvailable means that the platform has no servers of the ordered kind in the data
	// hall at present.
	NoneAvailable = namespace.NewType("none_available")
)

// Service is the declaration of a service whose servers are ordered.
type Service struct {
	Name string
	// Min and Max bound the number of servers in each data hall, of both kinds together.
	Min, Max int
	// StartUp is the time from an order until a new server serves, and WarmUp how long it
	// then bears only few requests.
	StartUp, WarmUp time.Duration
	// Slots is the number of requests that a server runs at once.
	Slots int
	// SpotPrice is the price of a spot server as a share of a reserved one's; zero if there
	// are no spot servers.
	SpotPrice float64
	// HallPrices holds the price of a reserved server by data hall; its keys are the halls in
	// which servers may be ordered.
	HallPrices map[string]float64
	// InRollout means that a rollout starts and stops servers beside those that are ordered.
	InRollout bool
}

// Pool counts the servers of a service in one data hall.
type Pool struct {
	// Reserved and Spot count those that run and are not leaving, by kind. Cold counts those
	// of them that are still warming up.
	Reserved, Spot         int
	ColdReserved, ColdSpot int
}

// Order is the number of servers of one kind that a service is to have in a data hall.
type Order struct {
	Service, Hall string
	Spot          bool
	Servers       int
}
