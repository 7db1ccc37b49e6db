package mirror

//go:generate go tool enumer -type=Event -trimprefix=Event -transform=snake -linecomment -output=mirror_enumer.go

// Event is what happened to the news of a node. Each is counted.
type Event int

// The events.
const (
	// EventPoll is a look at the store itself, since the news had grown old.
	EventPoll Event = iota // look
	// EventPollFailed is one that the store did not answer.
	EventPollFailed // look_in_vain
	// EventUpstreamSilent is an upstream that did not answer, and is passed over.
	EventUpstreamSilent
	// EventUpstreamStale is one that knew less than the store told, and is passed over.
	EventUpstreamStale // upstream_old
	// EventStoreLost and EventStoreBack are the first call that the store did not answer
	// and the first that it did, or that an upstream did which reaches it.
	EventStoreLost
	EventStoreBack
	// EventOutage is fresh news after an outage of the store, in which entries lapse.
	EventOutage
	// EventStalled is a call during which this process did not run.
	EventStalled
)

// Option changes a Mirror as New makes it.
type Option func(*Mirror)

// WithEvents calls count with each event.
func WithEvents(count func(Event)) Option { return func(m *Mirror) { m.count = count } }
