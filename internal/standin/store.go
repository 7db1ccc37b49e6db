package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store stands in for the metadata store of the users' platform, as far as
// the system uses it, in memory. Each node may get a door of its own, so that
// one can be turned away while others are served.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// forgotten is the revision up to which history is gone.
	forgotten int64
	leases    map[int64]*storeLease
	changed   chan struct{}
	calls     map[string]int
}

// storeItem is a key as the store keeps and sends it.
type storeItem struct {
	Key      string `json:"tls_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"rev"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeLease is a lease that lapses unless it is renewed.
type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items:   make(map[string]storeItem),
		leases:  make(map[int64]*storeLease),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
}

// StoreEndpoint is one way into a store, with faults of its own.
type StoreEndpoint struct {
	faulty
	store *Store
	// busy answers everything with this status; zero for none.
	busy int
}

// NewEndpoint returns a new way into the store.
func (s *Store) NewEndpoint() *StoreEndpoint { return &StoreEndpoint{store: s} }

// SetFault makes the door misbehave until the next call.
func (d *StoreEndpoint) SetFault(f Fault) { d.set(f) }

// SetStatus makes the door answer with a status, such as 429; zero ends that.
func (d *StoreEndpoint) SetStatus(status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = status
}

// Handler returns the HTTP handler of the door.
func (d *StoreEndpoint) Handler() http.Handler {
	s := d.store
	mux := http.NewServeMux()
	for pattern, handle := range map[string]http.HandlerFunc{
		"GET /api/kv-key":               s.key,
		"GET /api/kv-range":             s.page,
		"GET /api/kv-watch":             s.watch,
		"POST /api/kv-txn":              s.txn,
		"POST /api/kv-lease":            s.grant,
		"POST /api/kv-keep/{id}":        s.keep,
		"DELETE /api/kv-lease-end/{id}": s.end,
	} {
		name := pattern[strings.LastIndex(pattern, "kv-"):]
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			s.count(name)
			handle(w, r)
		})
	}
	return d.wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		busy := d.busy
		d.mu.Unlock()
		if busy != 0 {
			w.WriteHeader(busy)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// Put writes a key as the operators and the servers do.
func (s *Store) Put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write([]storeItem{{Key: key, Value: data}}, nil)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []string{key})
}

// Get returns a key's value, nil if it is not there.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Keys returns the keys under a prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.under(prefix)
}

// Compact drops the history, so that watches that lag are told that it is gone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
}

// Calls returns how often a call was made, such as "kv-watch".
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// count counts a call by its name.
func (s *Store) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[strings.TrimSuffix(name, "/{id}")]++
}

// under returns the keys under a prefix, sorted. The caller holds mu.
func (s *Store) under(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// write changes the store; all changes of one call share a revision. The caller
// holds mu.
func (s *Store) write(puts []storeItem, remove []string) int64 {
	s.revision++
	for _, item := range puts {
		item.Revision, item.Created = s.revision, s.revision
		if old, ok := s.items[item.Key]; ok {
			item.Created = old.Created
		}
		s.items[item.Key] = item
		s.history = append(s.history, item)
	}
	for _, key := range remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("tls_key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, item)
}

// pageItems is how many items a page has; few, so that tests see several.
const pageItems = 5

func (s *Store) page(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items    []storeItem `json:"items"`
		More     bool        `json:"has_more"`
		Revision int64       `json:"as_of"`
	}{Items: []storeItem{}, Revision: s.revision}
	after := r.URL.Query().Get("after_rev")
	for _, key := range s.under(r.URL.Query().Get("path_prefix")) {
		if key <= after {
			continue
		}
		if len(out.Items) == pageItems {
			out.More = true
			break
		}
		out.Items = append(out.Items, s.items[key])
	}
	writeJSON(w, out)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, revision, changed, gone := s.since(query.Get("path_prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
			}
		}
		writeJSON(w, map[string]any{"events": events, "as_of": revision})
		return
	}
}

// since returns the changes under a prefix after a revision, the revision up to
// which they go, a channel that is closed at the next change, and whether some
// of the changes are not kept any more.
func (s *Store) since(prefix string, after int64) (events []storeItem, revision int64, changed chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []storeItem{}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, after < s.forgotten
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []storeItem `json:"expect_rev"`
		Puts   []storeItem `json:"puts"`
		Remove []string    `json:"remove"`
	}
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	writeJSON(w, map[string]int64{"rev": s.write(in.Puts, in.Remove)})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	l := &storeLease{ttl: time.Duration(in.TTL) * time.Millisecond}
	l.timer = time.AfterFunc(l.ttl, func() { s.lapse(id) })
	s.leases[id] = l
	writeJSON(w, map[string]int64{"lease": id, "ttl_ms": in.TTL})
}

// lapse ends a lease.
func (s *Store) lapse(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
}

// drop ends a lease and removes the keys that go with it. The caller holds mu.
func (s *Store) drop(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	s.write(nil, keys)
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	writeJSON(w, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.lapse(id)
	writeJSON(w, map[string]int64{})
}

// Close ends the timers of all leases.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
