package notice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRest bounds a rest to what the times of this process can hold.
const maxRest = 365 * 24 * time.Hour

// Headers are the names of the headers in which servers say something of themselves. A rest is told
// by the standard header Retry-After.
type Headers struct {
	RequestLimit, RejectionLimit, Leaving string
}

// Decode returns what an answer says of its server. Headers that cannot be read say nothing. An
// answer with status 421 comes from whatever server is at the address now; if that one leaves, the
// one that was asked for is gone or leaves itself, and nothing else in such an answer is about it.
func (h Headers) Decode(response *http.Response) []Notice {
	leaving := parseLeaving(response.Header.Values(h.Leaving))
	if response.StatusCode == http.StatusMisdirectedRequest {
		if leaving {
			return []Notice{{KindLeaving, 1}}
		}
		return nil
	}
	notices := make([]Notice, 0, 4)
	if perSecond, ok := parseLimit(response.Header.Values(h.RequestLimit)); ok {
		notices = append(notices, Notice{KindRequestLimit, perSecond})
	}
	if perSecond, ok := parseLimit(response.Header.Values(h.RejectionLimit)); ok {
		notices = append(notices, Notice{KindRejectionLimit, perSecond})
	}
	value := KindLeaving.Absent()
	if leaving {
		value = 1
	}
	return append(notices, Notice{KindLeaving, value}, Notice{KindRest, restOf(response).Seconds()})
}

// restOf returns how long a server wants rest: only one that is unavailable does.
func restOf(response *http.Response) time.Duration {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	return ParseRest(response.Header.Values("Retry-After"), answeredAt(response.Header))
}

// answeredAt returns the time of day at which a server says that it answered, by its own clock; this
// node's if it doesn't say.
func answeredAt(h http.Header) time.Time {
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		return date
	}
	return time.Now()
}

// parseLimit parses the values of a header that names a limit, the first of which counts: a number of
// requests a second, zero or more. It returns false for anything else; no value names no limit.
func parseLimit(values []string) (perSecond float64, ok bool) {
	if len(values) == 0 {
		return Unlimited, true
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	return perSecond, err == nil && perSecond >= 0
}

// parseLeaving parses the values of the header by which a server says that it leaves.
func parseLeaving(values []string) bool {
	for _, value := range values {
		if leaves, err := strconv.ParseBool(strings.TrimSpace(value)); err == nil && leaves {
			return true
		}
	}
	return false
}

// ParseRest parses the values of the header Retry-After: seconds, with fractions, or a date, which
// is compared with the time of the answer. The longest of several counts. It returns zero if there
// is none that can be read, and for times that are over.
func ParseRest(values []string, answered time.Time) time.Duration {
	longest := time.Duration(0)
	for _, value := range values {
		if date, err := http.ParseTime(value); err == nil {
			longest = max(longest, min(maxRest, date.Sub(answered)))
			continue
		}
		for _, part := range strings.Split(value, ",") {
			longest = max(longest, parseSeconds(strings.TrimSpace(part)))
		}
	}
	return longest
}

// parseSeconds parses a number of seconds; it returns zero for anything else.
func parseSeconds(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}
