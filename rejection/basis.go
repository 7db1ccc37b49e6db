package rejection

//go:generate go tool enumer -type=Basis -trimprefix=Basis -transform=snake -output=basis_enumer.go

// Basis is why a node may send a request to a server.
type Basis int

// The bases.
const (
	// BasisNone: the request has no place there, and is not sent.
	BasisNone Basis = iota
	// BasisUnlimited: the server is not known to name a rejection limit.
	BasisUnlimited
	// BasisHeld: this node had a place that it did not use.
	BasisHeld
	// BasisGranted: this node has just been given a place.
	BasisGranted
	// BasisUnanswered: nobody answered who gives out places, and the server has a slot for each node.
	BasisUnanswered
)
