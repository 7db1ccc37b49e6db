// Package rollout introduces a version in stages and stops it when it is worse
// than the one in service.
//
// Which stage a roll-out has reached is a shared document at the platform, so
// a roll-out that was interrupted goes on where it was, under another node.
// Every node picks versions by the stage that it knows and counts the answers
// of each version, good and bad; one node, which holds the driver's lease,
// collects the counts, moves the stage on, or stops the roll-out. What a node
// that has gone had counted stays with the stages.
//
// A [Picker] picks versions of a model. [ServicePicker] picks servers of a service
// whose version an [Order] replaces.
//
// # Usage
//
//	version, err := picker.Pick(model, sessionKey, allowed)
//	…
//	picker.Count(model.Name, version.Name, rollout.IsBad(guards, failed, rating, firstToken))
//
//	servers, version := services.Choose("look", sessionKey, "", known)
//	…
//	services.Count("look", version, rollout.Answer{Kind: …, Wait: …})
package rollout

import (
	"encoding/json"
	"time"

	"github.com/violettally/violettally/internal/errs"
)

//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=snake -text -output=rollout_enumer.go

var (
	namespace = errs.Namespace("rollout")

	// NoVersion says that no version of the model takes new sessions.
	NoVersion = namespace.NewType("no_version")
	// Malformed says that the stored stages cannot be read.
	Malformed = namespace.NewType("malformed")
	// Fenced says that a later driver has written the stages.
	Fenced = namespace.NewType("fenced")
)

// Verdict is how a roll-out stands.
type Verdict int

// The verdicts.
const (
	VerdictRunning Verdict = iota
	VerdictStopped
	VerdictComplete
)

// Progress is the state of one model's roll-out.
type Progress struct {
	Version    string    `json:"version"`
	Stage      int       `json:"stage"`
	StageSince time.Time `json:"since"`
	Verdict    Verdict   `json:"verdict"`
	Reason     string    `json:"reason"`
	// Evidence is the test's score when it last moved, and Samples the
	// answers it rests on.
	Evidence float64 `json:"evidence"`
	Samples  int64   `json:"samples"`
	// Share is the stage's where it has to be lowered by the number of
	// requests; zero until that is known.
	Share float64 `json:"share,omitempty"`
	// StickySessions lists the sessions, by their slots, that were under way when the
	// share was set; they stay on the version in service during that stage.
	StickySessions string `json:"held,omitempty"`
	// DepartedCandidate holds what nodes that have gone counted of the candidate, and
	// GoneInService of the version in service: the next driver cannot ask them.
	DepartedCandidate StoredCount `json:"gone,omitzero"`
	DepartedBaseline  StoredCount `json:"gone_in_service,omitzero"`
}

// StoredCount is the part of a count that outlives its node.
type StoredCount struct {
	Answers int64 `json:"answers"`
	Bad     int64 `json:"bad"`
	Slow    int64 `json:"slow"`
}

func (t StoredCount) add(c Count) StoredCount {
	return StoredCount{Answers: t.Answers + c.Answers, Bad: t.Bad + c.Bad, Slow: t.Slow + c.Slow}
}

func (t StoredCount) count() Count { return Count{Answers: t.Answers, Bad: t.Bad, Slow: t.Slow} }

// Stages is the shared document: the roll-outs by model, and the fencing
// token of the driver that wrote them.
type Stages struct {
	Token  int64               `json:"token"`
	Models map[string]Progress `json:"models"`
}

// DecodeStages reads the shared document; no data stands for none.
func DecodeStages(data []byte) (Stages, error) {
	s := Stages{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &s); err != nil {
			return s, errs.Wrap(Malformed, "decode", err, "stored stages")
		}
	}
	if s.Models == nil {
		s.Models = make(map[string]Progress)
	}
	return s, nil
}

// Count is how many answers of a version a node has seen, and how many of
// them were bad. Counts only grow, so that a node's latest replaces its last.
type Count struct {
	Answers int64 `cbor:"1,keyasint" json:"answers"`
	Bad     int64 `cbor:"2,keyasint" json:"bad"`
	// Slow are answers that took several times as long as is usual, where
	// that is known.
	Slow int64 `cbor:"5,keyasint,omitempty" json:"slow,omitempty"`
	// Running is how many requests the node has there now; it also falls.
	Running int64 `cbor:"3,keyasint" json:"running"`
	// RunningBeforeOrder is how many requests run there that the node sent while it knew of
	// no order. Running leaves them out, since a first stage is sized by what
	// came since the order.
	RunningBeforeOrder int64 `cbor:"6,keyasint,omitempty" json:"earlier,omitempty"`
	// RecentSessions are the slots of the sessions that lately had a request there,
	// as far as a first stage could move them.
	RecentSessions []uint32 `cbor:"4,keyasint,omitempty" json:"recent,omitempty"`
}

// Counts are a node's counts by "model@version".
type Counts map[string]Count

// countKey is the name under which a version's answers are counted.
func countKey(model, version string) string { return model + "@" + version }
