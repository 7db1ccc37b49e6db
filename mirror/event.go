package mirror

//go:generate go tool enumer -type=Event -trimprefix=Event -transform=snake -linecomment -output=mirror_enumer.go

// Event is something that happened while a node kept its copy current. Each event is
// counted.
type Event int

// The events.
const (
	// EventPoll is a poll of the store because the copy had grown old.
	EventPoll Event = iota // look
	// EventPollFailed is a poll to which the store did not respond.
	EventPollFailed // look_in_vain
	// EventUpstreamSilent is an upstream that did not respond and is skipped.
	EventUpstreamSilent
	// EventUpstreamStale is an upstream that is skipped since its data is stale, while
	// this node's own is not.
	EventUpstreamStale // upstream_old
	// EventStoreLost and EventStoreBack are the first call to which the store did not
	// respond, and the first one after it to which the store, or an upstream that
	// reaches it, responded.
	EventStoreLost
	EventStoreBack
	// EventOutage is the arrival of fresh data after an outage of the store in which
	// entries expire.
	EventOutage
	// EventStalled is a call during which this process did not run.
	EventStalled
	// EventReadFailed is a read of the store by a node that starts to which the store did not
	// respond in full.
	EventReadFailed
)

// Option configures a Mirror.
type Option func(*Mirror)

// WithEvents calls count with each event.
func WithEvents(count func(Event)) Option { return func(m *Mirror) { m.count = count } }
