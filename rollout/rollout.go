// Package rollout rolls out a new version in stages (canary release) and stops
// it when it performs worse than the version in service.
//
// The progress of all rollouts is a shared document on the platform, so that
// another node can resume an interrupted rollout. Every node picks versions
// according to the stages that it has received and counts the good and bad
// answers of each version: those of a model, or the responses of the servers of
// a service. The node that holds the driver's lease collects the counts of all
// nodes and then advances or stops each rollout. The counts of nodes that have
// left are kept in the shared document.
//
// A [Picker] picks the version of a model. A [ServicePicker] picks the servers
// of a service whose version is replaced by an [Order].
//
// # Usage
//
//	version, err := picker.Pick(model, sessionKey, allowed)
//	…
//	picker.Count(model, version.Name, rollout.IsBad(guards, failed, rating, firstToken))
//
//	servers, version := services.Choose("look", sessionKey, "", known)
//	…
//	response := services.Await("look", version, rollout.Sample{Kind: …})
//	… response.Begin(late, failed), response.Event() for each event of a stream …
//	response.End()
package rollout

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
)

//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=snake -text -output=rollout_enumer.go

var (
	namespace = errs.Namespace("rollout")

	// NoVersion means that no version of the model accepts new sessions.
	NoVersion = namespace.NewType("no_version")
	// Malformed means that the stored stages cannot be decoded.
	Malformed = namespace.NewType("malformed")
	// Fenced means that a driver with a newer token has written the stages.
	Fenced = namespace.NewType("fenced")
)

// Verdict is the status of a rollout.
type Verdict int

const (
	VerdictRunning Verdict = iota
	VerdictStopped
	VerdictComplete
)

// Progress is the state of one rollout.
type Progress struct {
	Version string `json:"version"`
	// Order identifies the order that began the rollout.
	Order      int64     `json:"order,omitempty"`
	Stage      int       `json:"stage"`
	StageSince time.Time `json:"since"`
	Verdict    Verdict   `json:"verdict"`
	Reason     string    `json:"reason"`
	// Evidence is the score of the test for bad answers, recorded when a stage
	// passes or this test stops the rollout. Samples is the number of the
	// candidate's answers when a stage last passed or the rollout was stopped.
	Evidence float64 `json:"evidence"`
	Samples  int64   `json:"samples"`
	// Requests is the number of requests to the version in service that were counted when the rollout began.
	Requests int64 `json:"requests,omitempty"`
	// Share is the traffic share of a stage that is sized by the request rate
	// (config.Stage.TargetSamples); zero until the rate is known.
	Share float64 `json:"share,omitempty"`
	// StickySessions holds the encoded hashes of the sessions that were active
	// when the share was set. They stay on the version in service during that
	// stage.
	StickySessions string `json:"held,omitempty"`
	// Withdrawn holds the versions that earlier rollouts were stopped for, one a line. Their servers may
	// run for a while beside those of the version in service.
	Withdrawn string `json:"withdrawn,omitempty"`
	// DepartedCandidate and DepartedBaseline hold the counts of departed nodes
	// for the candidate and for the version in service. They are stored because
	// the next driver cannot collect them.
	DepartedCandidate StoredCount `json:"gone,omitzero"`
	DepartedBaseline  StoredCount `json:"gone_in_service,omitzero"`
}

// maxWithdrawn is the number of stopped versions that are remembered. Their servers run for some seconds.
const maxWithdrawn = 8

// withdrawn returns the versions, other than a later rollout's target, that rollouts up to this one were stopped
// for.
func (p Progress) withdrawn(target string) []string {
	versions := strings.FieldsFunc(p.Withdrawn, func(r rune) bool { return r == '\n' })
	if p.Verdict == VerdictStopped {
		versions = append(versions, p.Version)
	}
	versions = slices.DeleteFunc(versions, func(v string) bool { return v == target })
	return versions[max(0, len(versions)-maxWithdrawn):]
}

// SameStatus reports whether operators are told the same of both.
func (p Progress) SameStatus(other Progress) bool {
	return p.Version == other.Version && p.Verdict == other.Verdict
}

// StoredCount is the part of a Count that is kept after its node has left.
type StoredCount struct {
	Answers int64 `json:"answers"`
	Bad     int64 `json:"bad"`
	Slow    int64 `json:"slow"`

	SlowFine int64 `json:"slow_fine,omitempty"`
}

func (t StoredCount) add(c Count) StoredCount {
	return StoredCount{Answers: t.Answers + c.Answers, Bad: t.Bad + c.Bad, Slow: t.Slow + c.Slow, SlowFine: t.SlowFine + c.SlowFine}
}

func (t StoredCount) count() Count {
	return Count{Answers: t.Answers, Bad: t.Bad, Slow: t.Slow, SlowFine: t.SlowFine}
}

// Stages is the shared document: the progress of each rollout by model or
// service name, and the fencing token of the driver that last wrote it.
type Stages struct {
	Token  int64               `json:"token"`
	Models map[string]Progress `json:"models"`
	// invalid holds the names of those that were left out since they cannot be used.
	invalid []string
}

// DecodeStages decodes the shared document, without the rollouts that cannot be used. Empty data yields no rollouts;
// other data that is not valid JSON yields no rollouts and a Malformed error.
func DecodeStages(data []byte) (Stages, error) {
	s := Stages{Models: make(map[string]Progress)}
	if len(data) == 0 {
		return s, nil
	}
	var stored struct {
		Token  int64                      `json:"token"`
		Models map[string]json.RawMessage `json:"models"`
	}
	if err := json.Unmarshal(data, &stored); err != nil {
		return s, errs.Wrap(Malformed, "decode", err, "stored stages")
	}
	s.Token = stored.Token
	for name, data := range stored.Models {
		var p Progress
		if err := json.Unmarshal(data, &p); err != nil || !p.valid() {
			s.invalid = append(s.invalid, name)
			continue
		}
		s.Models[name] = p
	}
	return s, nil
}

// maxStage is the largest number of a stage that is plausible.
const maxStage = 1000

// valid reports whether the progress is one that a driver may have written.
func (p Progress) valid() bool {
	return p.Stage >= 0 && p.Stage <= maxStage && p.Share >= 0 && p.Share <= 1
}

// encodeWith returns the encoded document with the given steps.
func (s Stages) encodeWith(steps []driverStep) ([]byte, error) {
	s.Models = maps.Clone(s.Models)
	for _, step := range steps {
		s.Models[step.name] = step.after
	}
	return json.Marshal(s)
}

// compact drops the ended rollouts that are not among the given models', and what the others no longer need.
func (s Stages) compact(models []config.Model) {
	ordered := make(map[string]bool, len(models))
	for _, m := range models {
		ordered[m.Name] = m.Rollout != nil
	}
	for name, p := range s.Models {
		switch {
		case p.Verdict == VerdictRunning:
		case !ordered[name]:
			delete(s.Models, name)
		default:
			p.Share, p.StickySessions = 0, ""
			s.Models[name] = p
		}
	}
}

// Count is what one node has counted for one version. Answers, Bad and Slow
// are cumulative, so a newer count of a node replaces the older one.
type Count struct {
	Answers int64 `cbor:"1,keyasint" json:"answers"`
	Bad     int64 `cbor:"2,keyasint" json:"bad"`
	// Slow counts answers that took several times as long as usual, if the
	// usual time is known.
	Slow int64 `cbor:"5,keyasint,omitempty" json:"slow,omitempty"`
	// SlowFine counts answers that are slow by the finer measure of the first stage.
	SlowFine int64 `cbor:"7,keyasint,omitempty" json:"slow_fine,omitempty"`
	// Running is the number of requests that are running now (a gauge).
	Running int64 `cbor:"3,keyasint" json:"running"`
	// RunningBeforeOrder is the number of running requests that the node sent
	// before it knew of an order. Running excludes them, because the first
	// stage is sized by the requests since the order.
	RunningBeforeOrder int64 `cbor:"6,keyasint,omitempty" json:"earlier,omitempty"`
	// RecentSessions holds the hashes of the sessions that recently had a
	// request on this version and that the first stage could move.
	RecentSessions []uint32 `cbor:"4,keyasint,omitempty" json:"recent,omitempty"`
}

// Counts maps "model@name" to a node's count, where the name is that of a version during a rollout.
type Counts map[string]Count

// countKey returns the key of a version in Counts, by the name under which it is counted.
func countKey(model, name string) string { return model + "@" + name }

// isKeyOf reports whether a key in Counts is one of a model.
func isKeyOf(model, key string) bool { return strings.HasPrefix(key, countKey(model, "")) }
