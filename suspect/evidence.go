package suspect

import (
	"cmp"
	"slices"
	"time"
)

// maxLosses bounds the losses that are kept to some 6 MB, whatever clients send. The oldest one is
// dropped first.
const maxLosses = 4096

// loss is one request that was lost at one incarnation of a server.
type loss struct {
	features Features
	server   uint64
	at       time.Time
	own      bool
	// crashed is set once the server was found not to be running after the loss.
	crashed bool
	// against is the number of features that the loss counts against.
	against int
}

// evidence holds the losses that count against at least one feature.
type evidence struct {
	// losses are in the order in which they were recorded.
	losses []*loss
	// atServer and against hold the same losses by server and by feature. After an answer to a
	// request, earlier losses no longer count against its features.
	atServer map[uint64][]*loss
	against  map[Feature][]*loss
}

func newEvidence() *evidence {
	return &evidence{atServer: make(map[uint64][]*loss), against: make(map[Feature][]*loss)}
}

// has reports whether the loss of a content at a server is recorded.
func (e *evidence) has(content Feature, server uint64) bool {
	return slices.ContainsFunc(e.atServer[server], func(l *loss) bool { return l.features.content() == content })
}

// isContent reports whether a feature, against which losses count, is the content of a request.
func (e *evidence) isContent(f Feature) bool { return e.against[f][0].features.content() == f }

// add records a loss. If there are too many, it drops the oldest one and returns it.
func (e *evidence) add(l *loss) (dropped *loss) {
	if len(e.losses) >= maxLosses {
		dropped = e.losses[0]
		e.remove(dropped)
	}
	e.losses = append(e.losses, l)
	e.atServer[l.server] = append(e.atServer[l.server], l)
	for _, f := range l.features {
		e.against[f] = append(e.against[f], l)
	}
	l.against = len(l.features)
	return dropped
}

// remove removes losses.
func (e *evidence) remove(losses ...*loss) {
	if len(losses) == 0 {
		return
	}
	set := make(map[*loss]bool, len(losses))
	for _, l := range losses {
		set[l] = true
	}
	unwanted := func(l *loss) bool { return set[l] }
	e.losses = slices.DeleteFunc(e.losses, unwanted)
	for _, l := range losses {
		deleteFrom(e.atServer, l.server, unwanted)
		for _, f := range l.features {
			deleteFrom(e.against, f, unwanted)
		}
	}
}

// clear makes the losses before a time no longer count against a feature, and returns them.
func (e *evidence) clear(f Feature, before time.Time) []*loss {
	var cleared, spent []*loss
	deleteFrom(e.against, f, func(l *loss) bool {
		if !l.at.Before(before) {
			return false
		}
		cleared = append(cleared, l)
		if l.against--; l.against == 0 {
			spent = append(spent, l)
		}
		return true
	})
	e.remove(spent...)
	return cleared
}

// deleteFrom deletes the unwanted losses of one key, and the key if none remains.
func deleteFrom[K comparable](losses map[K][]*loss, key K, unwanted func(*loss) bool) {
	remaining := slices.DeleteFunc(losses[key], unwanted)
	if len(remaining) == 0 {
		delete(losses, key)
		return
	}
	losses[key] = remaining
}

// find returns the losses for which wanted returns true.
func find(losses []*loss, wanted func(*loss) bool) []*loss {
	var found []*loss
	for _, l := range losses {
		if wanted(l) {
			found = append(found, l)
		}
	}
	return found
}

// featuresOf returns the features of losses, each once.
func featuresOf(losses []*loss) Features {
	var features Features
	for _, l := range losses {
		features = append(features, l.features...)
	}
	slices.Sort(features)
	return slices.Compact(features)
}

// crash is the crash of one server, with the losses there.
type crash struct {
	at     time.Time
	losses []*loss
}

// crashesOf returns the crashes at which losses occurred, in order.
func crashesOf(losses []*loss) []crash {
	byServer := make(map[uint64]*crash)
	for _, l := range losses {
		c := byServer[l.server]
		if c == nil {
			c = &crash{at: l.at}
			byServer[l.server] = c
		}
		c.losses = append(c.losses, l)
		if l.at.Before(c.at) {
			c.at = l.at
		}
	}
	crashes := make([]crash, 0, len(byServer))
	for _, c := range byServer {
		crashes = append(crashes, *c)
	}
	slices.SortFunc(crashes, func(a, b crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.losses[0].server, b.losses[0].server))
	})
	return crashes
}

// countIncidents returns the number of incidents in which requests with a feature were lost: crashes
// of different servers, those within IncidentWindow counted as one. Of the losses of one request,
// only the first maxIncidentsPerRequest count against the parts of its prompt, since it may have
// been sent to one server after the other that crashes for another reason.
func countIncidents(f Feature, losses []*loss) int {
	counted := make(map[Feature]int)
	count, start := 0, time.Time{}
	for _, c := range crashesOf(losses) {
		if count > 0 && c.at.Sub(start) <= IncidentWindow {
			continue
		}
		i := slices.IndexFunc(c.losses, func(l *loss) bool {
			content := l.features.content()
			return content == f || counted[content] < maxIncidentsPerRequest
		})
		if i >= 0 {
			counted[c.losses[i].features.content()]++
			count, start = count+1, c.at
		}
	}
	return count
}
