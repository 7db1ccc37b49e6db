// Package view holds the agreed list of the system's own VMs. The list is a
// small document in the platform's key-value service. It is changed by
// compare-and-swap, only when a VM joins, leaves or is removed after a failure,
// and each change increments the epoch. The replicas of a key follow from the view
// alone, by rendezvous hashing, without a lookup at other nodes.
//
// # Usage
//
//	replicas := current.Replicas("home", key) // three VMs in three data halls
//
// A VM that restarts has lost its memory and is a new member: a member's ID
// is the VM's name and the incarnation of its process.
package view

import (
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/rendezvous"
)

var (
	namespace = errs.Namespace("view")

	// Malformed says that a stored view cannot be read.
	Malformed = namespace.NewType("malformed")
)

// ReplicaCount is the number of replicas of a key.
const ReplicaCount = 3

// historyLength is how many earlier member lists a view carries, so that a VM
// which missed some epochs can still read from the replicas of each of them.
const historyLength = 32

// Member is one process on one VM. Caller is its address for clients, Peer its
// address for other nodes.
type Member struct {
	ID       string `json:"id"`
	VM       string `json:"vm"`
	Region   string `json:"region"`
	DataHall string `json:"data_hall"`
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	// Joined is when the member joined, in Unix seconds.
	Joined int64 `json:"joined"`
	// FanOut is the number of members that this one can pass news on to (package tree).
	FanOut int `json:"fan_out,omitempty"`
}

// MemberID returns the ID of one incarnation of a VM's process.
func MemberID(vm, incarnation string) string { return vm + "#" + incarnation }

// SameLocation reports whether two members have the same VM, region, data hall and
// addresses.
func (m Member) SameLocation(other Member) bool {
	return m.VM == other.VM && m.Region == other.Region && m.DataHall == other.DataHall &&
		m.Caller == other.Caller && m.Peer == other.Peer
}

// NewMember returns m with the ID of a new incarnation, made from the time.
func NewMember(m Member) Member {
	m.ID = MemberID(m.VM, strconv.FormatInt(time.Now().UnixNano(), 36))
	return m
}

// stored is the stored form of a view.
type stored struct {
	Epoch   int64         `json:"epoch"`
	Members []Member      `json:"members"`
	History []epochChange `json:"history"`
}

// epochChange is the difference of one epoch's member list to the one before.
type epochChange struct {
	Epoch   int64    `json:"epoch"`
	Added   []string `json:"added"`
	Removed []Member `json:"removed"`
}

// View is the member list of one epoch. It is immutable.
type View struct {
	stored stored
	byID   map[string]int
	hashes []uint64
}

// Empty returns the view of epoch zero, without members.
func Empty() *View { return build(stored{}) }

func build(d stored) *View {
	v := &View{stored: d, byID: make(map[string]int, len(d.Members)), hashes: make([]uint64, len(d.Members))}
	for i, m := range d.Members {
		v.byID[m.ID] = i
		v.hashes[i] = rendezvous.Hash(m.ID)
	}
	return v
}

// Decode reads a stored view; empty data is the empty view. The error is of type
// [Malformed].
func Decode(data []byte) (*View, error) {
	if len(data) == 0 {
		return Empty(), nil
	}
	var d stored
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errs.Wrap(Malformed, "decode", err, "stored view")
	}
	return build(d), nil
}

// Encode returns the stored form, JSON.
func (v *View) Encode() ([]byte, error) { return json.Marshal(v.stored) }

// Epoch returns the number of changes that led to the view.
func (v *View) Epoch() int64 { return v.stored.Epoch }

// Members returns all members, sorted by ID. The slice must not be changed.
func (v *View) Members() []Member { return v.stored.Members }

// Member returns the member with an ID.
func (v *View) Member(id string) (Member, bool) {
	i, ok := v.byID[id]
	if !ok {
		return Member{}, false
	}
	return v.stored.Members[i], true
}

// Has reports whether a member with the ID is in the view.
func (v *View) Has(id string) bool {
	_, ok := v.byID[id]
	return ok
}

// Change returns the view of the next epoch, with members added and others
// removed. An added member replaces earlier incarnations of its VM. Change
// returns nil if nothing would change.
func (v *View) Change(add []Member, remove []string) *View {
	next := stored{Epoch: v.Epoch() + 1}
	step := epochChange{Epoch: next.Epoch}
	for _, m := range v.stored.Members {
		replaced := slices.ContainsFunc(add, func(a Member) bool { return a.VM == m.VM && a.ID != m.ID })
		if replaced || slices.Contains(remove, m.ID) {
			step.Removed = append(step.Removed, m)
			continue
		}
		next.Members = append(next.Members, m)
	}
	for _, m := range add {
		if !v.Has(m.ID) {
			next.Members = append(next.Members, m)
			step.Added = append(step.Added, m.ID)
		}
	}
	if len(step.Added) == 0 && len(step.Removed) == 0 {
		return nil
	}
	sort.Slice(next.Members, func(i, j int) bool { return next.Members[i].ID < next.Members[j].ID })
	next.History = append(slices.Clone(v.stored.History), step)
	next.History = next.History[max(0, len(next.History)-historyLength):]
	return build(next)
}

// Earlier returns the views of the epochs before this one, latest first, as
// far as the history reaches.
func (v *View) Earlier() []*View {
	var views []*View
	members := v.stored.Members
	for i := len(v.stored.History) - 1; i >= 0; i-- {
		step := v.stored.History[i]
		before := slices.Clone(step.Removed)
		for _, m := range members {
			if !slices.Contains(step.Added, m.ID) {
				before = append(before, m)
			}
		}
		members = before
		views = append(views, build(stored{Epoch: step.Epoch - 1, Members: members}))
	}
	return views
}

// Removed returns the members that were removed, as far as the history reaches.
func (v *View) Removed() []Member {
	var removed []Member
	for _, step := range v.stored.History {
		removed = append(removed, step.Removed...)
	}
	return removed
}

// Replicas returns the replicas of a key of a region, in the order in which they
// are asked: three in different data halls, or fewer members or halls if there
// are not as many.
func (v *View) Replicas(region, key string) []Member {
	return v.rank(region, key, ReplicaCount, nil)
}

// Owner returns the member of a region that ranks first for a key by rendezvous
// hashing, among those that pass the filter.
func (v *View) Owner(region, key string, filter func(id string) bool) (Member, bool) {
	ranked := v.rank(region, key, 1, filter)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// candidate is a member by index, with its score for a key.
type candidate struct {
	index int
	score uint64
}

// rank returns up to n members of a region: first the best member of each data
// hall, highest score first, then the others, highest score first.
func (v *View) rank(region, key string, n int, filter func(id string) bool) []Member {
	keyHash := rendezvous.Hash(key)
	// first holds the best members of up to n data halls, rest the best members
	// of those that are not in first.
	var first, rest topCandidates
	for i := range v.stored.Members {
		m := &v.stored.Members[i]
		if m.Region != region || (filter != nil && !filter(m.ID)) {
			continue
		}
		c := candidate{index: i, score: rendezvous.Score(keyHash, v.hashes[i])}
		if first.full(n) && rest.full(n) && c.score <= first.lowestScore() && c.score <= rest.lowestScore() {
			continue
		}
		if same := first.find(func(o candidate) bool { return v.stored.Members[o.index].DataHall == m.DataHall }); same >= 0 {
			if c.score <= first[same].score {
				rest.add(c, n)
				continue
			}
			rest.add(first[same], n)
			first = append(first[:same], first[same+1:]...)
		}
		if dropped, ok := first.add(c, n); ok {
			rest.add(dropped, n)
		}
	}
	members := make([]Member, 0, n)
	for _, c := range append(first, rest...) {
		if len(members) < n {
			members = append(members, v.stored.Members[c.index])
		}
	}
	return members
}

// topCandidates is a short list of candidates, best first.
type topCandidates []candidate

func (t topCandidates) full(n int) bool { return len(t) >= n }

func (t topCandidates) lowestScore() uint64 { return t[len(t)-1].score }

func (t topCandidates) find(matches func(candidate) bool) int { return slices.IndexFunc(t, matches) }

// add keeps the n best and returns the one that fell out, if any.
func (t *topCandidates) add(c candidate, n int) (dropped candidate, ok bool) {
	at := len(*t)
	for at > 0 && (*t)[at-1].score < c.score {
		at--
	}
	*t = slices.Insert(*t, at, c)
	if len(*t) <= n {
		return candidate{}, false
	}
	dropped = (*t)[n]
	*t = (*t)[:n]
	return dropped, true
}
