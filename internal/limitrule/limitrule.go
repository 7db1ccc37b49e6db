// Package limitrule states, for tests, how many requests a server that names a request limit may
// get: from AdaptTime after it first did, in any Window no more than Allowed.
//
// # Usage
//
//	must.LessEq(t, limitrule.Allowed(perSecond), float64(slidingwindow.Most(arrivals, limitrule.Window)))
package limitrule

import "time"

const (
	// AdaptTime is how long nodes have to adapt to a limit that a server names.
	AdaptTime = 3 * time.Second
	// Window is the time over which the server's requests are counted.
	Window = 4 * time.Second
	// factor is how many times what its limit allows the server may get in a window, and slack
	// the number of requests that it may get beyond that.
	factor = 1.5
	slack  = 5
)

// Allowed returns the number of requests that a server may get in a Window if it names a limit, in
// requests a second.
func Allowed(perSecond float64) float64 { return factor*perSecond*Window.Seconds() + slack }

// AllowedCrashes returns how often the servers of a service may end, in one time in which they name
// rejection limits, because they had to reject too many requests.
func AllowedCrashes(servers int) float64 { return 2 + float64(servers)/10 }
