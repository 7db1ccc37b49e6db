package suspect

//go:generate go tool enumer -type=Event -trimprefix=Event -linecomment -transform=snake -output=suspect_enumer.go

// Event is a change of the evidence against requests or of a verdict. Each is counted in
// the metrics by its written value.
type Event int

const (
	// EventLost: a server left a request of this node without a response, and crashed.
	EventLost Event = iota
	// EventSurvived: a server left a request of this node without a response, and still runs.
	EventSurvived
	// EventNotPublished: such a loss was not published to other nodes, because of the
	// rate limit.
	EventNotPublished // untold
	// EventReceived: another node published a loss.
	EventReceived // heard
	// EventVerdict: requests with a content are refused from now on; EventPartVerdict: requests
	// with a part in their prompts are.
	EventVerdict
	EventPartVerdict
	// EventWithdrawn: requests are no longer refused.
	EventWithdrawn
	// EventContested: a verdict of another node was withdrawn, since a server has answered such a
	// request here since.
	EventContested
)
