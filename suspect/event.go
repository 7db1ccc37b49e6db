package suspect

//go:generate go tool enumer -type=Event,Finding,Clearance -trimprefix=Event,Finding,Cleared -transform=snake -output=suspect_enumer.go

// Event is what happened to the evidence against requests. Each is counted.
type Event int

// The events.
const (
	// EventLost is a request that a server left without an answer at this node.
	EventLost Event = iota
	// EventNotPublished is one of these that was not told to other nodes, since there were
	// too many of them.
	EventNotPublished
	// EventReceived is a loss that another node has told of.
	EventReceived
	// EventVerdict is a request that is refused from now on, EventWithdrawn one that is
	// so no more.
	EventVerdict
	EventWithdrawn
)
