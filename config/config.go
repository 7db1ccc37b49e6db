// Package config holds the operators' declarations: which client accounts may
// use which models and versions, how versions roll out and are withdrawn, when
// a cheaper model may answer before a costlier one, and which backend servers
// do the work.
//
// A declaration file is JSON; comments and trailing commas are allowed, since
// operators keep these files in version control. A file is accepted whole or
// not at all: [Parse] reports every fault it finds with its position, and only
// a file without faults yields a [Config].
//
// # Usage
//
//	c, faults := config.Parse("caroni.json", data)
//	for _, f := range faults {
//		fmt.Fprintln(os.Stderr, f)
//	}
//
// The types here mirror the file, so their fields are exported for the JSON
// codec; everything that reads a configuration at run time goes through
// [Snapshot], which is immutable and indexed.
package config

import (
	"fmt"
	"time"

	"github.com/violettally/violettally/internal/strictjson"
)

//go:generate go tool enumer -type=Priority,VersionState -text -transform=snake -trimprefix=Priority,Version -output=config_enumer.go

// Priority orders the requests of client accounts when capacity is short.
type Priority int

// The priorities, from the one that yields first.
const (
	PriorityPatient Priority = iota
	PriorityStandard
	PriorityInteractive
)

// VersionState says what a model version may be used for.
type VersionState int

// The states of a version. A retired version keeps the sessions it has; a
// withdrawn version gets no new work at all.
const (
	VersionInService VersionState = iota
	VersionRollingOut
	VersionRetired
	VersionWithdrawn
)

// MaxFileBytes is the largest declaration file. The platform's key-value service
// holds values up to a megabyte; the rest is left for the envelope.
const MaxFileBytes = 900 << 10

// Fault is one thing wrong with a declaration file, with its position.
type Fault = strictjson.Fault

// Parse reads a declaration file. It returns either a configuration or every
// fault that it found, never both.
func Parse(file string, data []byte) (*Config, []Fault) {
	if len(data) > MaxFileBytes {
		return nil, []Fault{{
			File: file, Line: 1, Column: 1,
			Message: fmt.Sprintf("the file has %d bytes; at most %d fit the platform's key-value service", len(data), MaxFileBytes),
		}}
	}
	c := new(Config)
	faults := strictjson.Decode(file, data, c, func(report strictjson.Report) {
		checkReferences(c, report)
	})
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// Config is one whole declaration.
type Config struct {
	Accounts  []Account  `json:"accounts"`
	Operators []Operator `json:"operators"`
	Models    []Model    `json:"models"`
	Cascades  []Cascade  `json:"cascades"`
	Pools     []Pool     `json:"pools"`
	Services  []Service  `json:"services"`
}

// Account is a client account. Keys holds digests as printed by
// `violettally digest`; the keys themselves stand nowhere.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Models lists what the account may use: "model", "model@version" or the
	// name of a cascade. A bare model allows each of its versions.
	Models   []string `json:"models"`
	Services []string `json:"services"`
	Priority Priority `json:"priority"`
	// Region is where the account's claims and limits are kept; "home" if
	// empty. It must not change while the account is in use.
	Region string `json:"region"`
	Limits Limits `json:"limits"`
}

// Limits bound one account over all nodes. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             int     `json:"burst"`
}

// DefaultRegion is the home of accounts that declare none.
const DefaultRegion = "home"

// HomeRegion returns where the account's claims and limits are kept.
func (a *Account) HomeRegion() string {
	if a.Region == "" {
		return DefaultRegion
	}
	return a.Region
}

// Operator may apply configurations and ask about decisions.
type Operator struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
}

// Model is one model with its versions, in the order of their introduction.
type Model struct {
	Name     string    `json:"name"`
	Versions []Version `json:"versions"`
	Rollout  *Rollout  `json:"rollout"`
	// MoveSessions allows a session to move off a withdrawn version. Without
	// it such a session is refused.
	MoveSessions bool `json:"move_sessions"`
}

// Version is one version of a model.
type Version struct {
	Name  string       `json:"name"`
	State VersionState `json:"state"`
	// Pool names the backend servers that hold the version.
	Pool string `json:"pool"`
	// EngineModel is the model name sent to the engine; "model@version" if
	// empty.
	EngineModel string `json:"engine_model"`
	// Prices are in micro-units of the operators' currency per 1,000 tokens.
	PromptPrice     int64 `json:"prompt_price"`
	CompletionPrice int64 `json:"completion_price"`
}

// Rollout introduces one version in stages beside the version in service.
type Rollout struct {
	Version string  `json:"version"`
	Stages  []Stage `json:"stages"`
	Guards  Guards  `json:"guards"`
	// Replace says that whatever holds the version in service is stopped when
	// the roll-out is complete, so that nothing may run there any more. It is
	// set by code alone.
	Replace bool `json:"-"`
}

// TotalMinSamples returns the number of answers that all stages need together.
func (r *Rollout) TotalMinSamples() int {
	sum := 0
	for _, s := range r.Stages {
		sum += s.MinSamples
	}
	return sum
}

// Stage is one step of a roll-out.
type Stage struct {
	// Share of new sessions, in (0, 1].
	Share float64 `json:"share"`
	// MinSamples is the number of answers that a stage needs before the next.
	MinSamples int `json:"min_samples"`
	// MinSeconds is the shortest time that a stage lasts.
	MinSeconds float64 `json:"min_seconds"`
	// TargetSamples lowers the share so far that the stage gives about that many
	// answers within MinSeconds; zero leaves it. It is set by code alone.
	TargetSamples int `json:"-"`
}

// Guards stop a roll-out whose version is worse than the one in service.
type Guards struct {
	// BadRating is the rating below which an answer counts as bad.
	BadRating float64 `json:"bad_rating"`
	// MaxBadIncrease is the tolerated increase of the share of bad answers.
	MaxBadIncrease float64 `json:"max_bad_increase"`
	// StrictBadIncrease is a smaller increase that is not tolerated either, but
	// takes more answers to be seen; zero for none. It is set by code alone.
	StrictBadIncrease float64 `json:"-"`
	// MaxSlowIncrease is the tolerated increase of the share of slow answers,
	// where these are counted. It is set by code alone.
	MaxSlowIncrease float64 `json:"-"`
	// MinSlowBaseline is the least share of slow answers that counts as usual. It
	// is set by code alone.
	MinSlowBaseline float64 `json:"-"`
	// FalseAlarmRate is the accepted probability of stopping a good version.
	FalseAlarmRate float64 `json:"false_alarm"`
	// MaxFirstTokenMillis counts a slower first token as a bad answer; zero
	// means no bound.
	MaxFirstTokenMillis float64 `json:"max_first_token_ms"`
}

// Cascade lets cheaper models answer before a costlier one. Callers use its
// name as a model name.
type Cascade struct {
	Name string `json:"name"`
	// Models are tried in order, cheapest first.
	Models []string `json:"models"`
	// MinRating releases an answer; below it the next model is asked.
	MinRating float64 `json:"min_rating"`
	// QualityTarget is the mean rating that the cascade must keep.
	QualityTarget float64 `json:"quality_target"`
}

// Pool is a group of backend servers.
type Pool struct {
	Name    string   `json:"name"`
	Servers []Server `json:"servers"`
	// RetryBudget is the share of requests that may be retried.
	RetryBudget float64 `json:"retry_budget"`
}

// Server is one backend server.
type Server struct {
	Name     string `json:"name"`
	URL      string `json:"url"`
	DataHall string `json:"data_hall"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// ChecksFencing says that the server refuses orders with an old token.
	ChecksFencing bool `json:"checks_fencing"`
}

// Service is a plain service that stands beside the model engines.
type Service struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Calls []Call `json:"calls"`
}

// Call is one kind of call of a plain service, matched by method and by the
// longest path prefix. What matches no call is refused.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Repeatable bool   `json:"repeatable"`
	// ClaimSeconds is how long a call that may not be repeated is
	// remembered; a day if zero.
	ClaimSeconds float64 `json:"claim_seconds"`
}

// defaultClaimTTL is how long a call that may not be repeated is remembered
// where its declaration does not say.
const defaultClaimTTL = 24 * time.Hour

// ClaimTTL returns how long the call is remembered.
func (c Call) ClaimTTL() time.Duration {
	if c.ClaimSeconds <= 0 {
		return defaultClaimTTL
	}
	return time.Duration(c.ClaimSeconds * float64(time.Second))
}

// defaultRetryRatio applies to a pool that declares none.
const defaultRetryRatio = 0.1

// RetryRatio returns the share of the pool's requests that may be retried.
func (p Pool) RetryRatio() float64 {
	if p.RetryBudget <= 0 {
		return defaultRetryRatio
	}
	return p.RetryBudget
}
