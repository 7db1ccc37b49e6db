// Package slidingwindow counts events in windows of time, for tests of rates.
//
// # Usage
//
//	most := slidingwindow.Most(arrivals, time.Second)
package slidingwindow

import "time"

// Most returns the largest number of events in any window of the given length. The events are in
// the order of time.
func Most(events []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i, at := range events {
		for at.Sub(events[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// From returns the events that are not before the given time.
func From(events []time.Time, from time.Time) []time.Time {
	for i, at := range events {
		if !at.Before(from) {
			return events[i:]
		}
	}
	return nil
}
