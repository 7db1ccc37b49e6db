// Package crashrule is the agreed bound on how many servers a part of prompts may crash, for tests.
//
// # Usage
//
//	if later := sentAfter(fifthCrash.Add(crashrule.SpreadTime)); later > crashrule.MaxSentLater {
//		t.Errorf("%d requests reached servers", later)
//	}
package crashrule

import "time"

const (
	// KnownCrashes is the number of crashes after which all nodes must come to know the part.
	KnownCrashes = 5
	// SpreadTime is how long that may take.
	SpreadTime = 3 * time.Second
	// MaxSentLater is the number of requests with the part that may reach servers after that.
	MaxSentLater = 3
	// MinServedShare is the share of the sound requests with other parts in common that must be
	// served then, of as many as are served without crashes.
	MinServedShare = 0.5
)
