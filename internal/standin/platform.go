package standin

import (
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// VM is one entry of the VM list (docs/INTERFACES.md).
type VM struct {
	Name  string `json:"name"`
	State string `json:"state"`
	Peer  string `json:"peer,omitempty"`
}

// VMList is a stand-in for the platform's VM list, which shows changes late.
type VMList struct {
	faultInjector
	lag     time.Duration
	mu      sync.Mutex
	visible []VM
}

// NewVMList returns a list that shows each change after lag.
func NewVMList(lag time.Duration, vms ...VM) *VMList {
	return &VMList{lag: lag, visible: vms}
}

// Handler returns the HTTP handler of the list.
func (l *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		writeJSON(w, map[string][]VM{"vms": l.visible})
	})
	mux.HandleFunc("POST /vms", func(w http.ResponseWriter, r *http.Request) {
		var in map[string][]VM
		if readJSON(w, r, &in) {
			l.Set(in["vms"])
		}
	})
	return l.wrap(mux)
}

// Set replaces the list, visible after the lag.
func (l *VMList) Set(vms []VM) {
	show := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.visible = vms
	}
	if l.lag == 0 {
		show()
		return
	}
	time.AfterFunc(l.lag, show)
}

// Rating is a stand-in for the rating service. It takes the rating of a completion
// from the mark, such as "[q=0.85]", that the engine stand-in puts into the text.
type Rating struct {
	faultInjector
	drift float64
	mu    sync.Mutex
	rated int
}

// NewRating returns a service that adds drift to each rating.
func NewRating(drift float64) *Rating { return &Rating{drift: drift} }

var qualityMark = regexp.MustCompile(`\[q=([0-9.]+)\]`)

// defaultRating is the rating of a completion without a mark.
const defaultRating = 0.9

// Handler returns the HTTP handler of the service.
func (s *Rating) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rate", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Answer string `json:"answer"`
		}
		if !readJSON(w, r, &in) {
			return
		}
		s.mu.Lock()
		s.rated++
		s.mu.Unlock()
		rating := defaultRating
		if m := qualityMark.FindStringSubmatch(in.Answer); m != nil {
			rating, _ = strconv.ParseFloat(m[1], 64)
		}
		writeJSON(w, map[string]float64{"rating": max(0, min(1, rating+s.drift))})
	})
	return s.wrap(mux)
}
