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

// Store is an in-memory stand-in for the metadata store of the users' platform,
// limited to the calls that the system uses. Each node may get an endpoint of its
// own, so that a test can fail the calls of one node while others are served.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// compacted is the revision up to which the history has been dropped.
	compacted int64
	leases    map[int64]*storeLease
	// changed is closed and replaced at each change.
	changed chan struct{}
	calls   map[string]int
}

// storeItem is a key with its value, as stored and as sent on the wire.
type storeItem struct {
	Key      string `json:"tls_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"rev"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeLease is a lease that expires unless it is renewed.
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

// StoreEndpoint serves the API of a store, with fault injection of its own.
type StoreEndpoint struct {
	faultInjector
	store *Store
	// status is the response to every request; zero serves requests normally.
	status int
}

// NewEndpoint returns a new endpoint of the store.
func (s *Store) NewEndpoint() *StoreEndpoint { return &StoreEndpoint{store: s} }

// SetFault sets the fault of the endpoint until the next call.
func (e *StoreEndpoint) SetFault(f Fault) { e.set(f) }

// SetStatus makes the endpoint respond to every request with a status, such as 429.
// Zero serves requests normally again.
func (e *StoreEndpoint) SetStatus(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status = status
}

// Handler returns the HTTP handler of the endpoint.
func (e *StoreEndpoint) Handler() http.Handler {
	s := e.store
	mux := http.NewServeMux()
	for pattern, handle := range map[string]http.HandlerFunc{
		"GET /api/kv-key":               s.getKey,
		"GET /api/kv-range":             s.listPage,
		"GET /api/kv-watch":             s.watch,
		"POST /api/kv-txn":              s.commitTxn,
		"POST /api/kv-lease":            s.grantLease,
		"POST /api/kv-keep/{id}":        s.renewLease,
		"DELETE /api/kv-lease-end/{id}": s.revokeLease,
	} {
		name := pattern[strings.LastIndex(pattern, "kv-"):]
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			s.countCall(name)
			handle(w, r)
		})
	}
	return e.wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		status := e.status
		e.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// Put writes a key with a JSON value, as operators and backend servers do, and returns
// the new revision.
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

// Get returns a key's value, nil if there is no such key.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Keys returns the keys with a prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysWithPrefix(prefix)
}

// Compact drops the history. Watches that lag behind then get 410 Gone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Calls returns how often an API call, such as "kv-watch", was made.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

func (s *Store) countCall(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[strings.TrimSuffix(name, "/{id}")]++
}

// keysWithPrefix returns the keys with a prefix, sorted. The caller holds mu.
func (s *Store) keysWithPrefix(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// write applies puts and removals as one revision, which it returns. The caller
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

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("tls_key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, item)
}

// pageSize is the number of items in a page, small so that tests see several pages.
const pageSize = 5

func (s *Store) listPage(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items    []storeItem `json:"items"`
		More     bool        `json:"has_more"`
		Revision int64       `json:"as_of"`
	}{Items: []storeItem{}, Revision: s.revision}
	after := r.URL.Query().Get("after_rev")
	for _, key := range s.keysWithPrefix(r.URL.Query().Get("path_prefix")) {
		if key <= after {
			continue
		}
		if len(out.Items) == pageSize {
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
		events, revision, changed, compacted := s.changesSince(query.Get("path_prefix"), after)
		if compacted {
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

// changesSince returns the changes to keys with a prefix after a revision, the current
// revision, a channel that is closed at the next change, and whether some of the
// changes have been dropped by [Store.Compact].
func (s *Store) changesSince(prefix string, after int64) (events []storeItem, revision int64, changed chan struct{}, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []storeItem{}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, after < s.compacted
}

// The store's bounds.
const (
	// maxTxnEntries is the number of entries in a transaction.
	maxTxnEntries = 32
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
)

// reservedPrefixes start the keys that only operators and backend servers write.
var reservedPrefixes = []string{"op/", "servers/"}

// checkTxn returns the status with which the store refuses a transaction, 0 if it takes it.
func checkTxn(entries int, puts []storeItem, remove []string) int {
	if entries > maxTxnEntries {
		return http.StatusBadRequest
	}
	keys := slices.Clone(remove)
	for _, p := range puts {
		keys = append(keys, p.Key)
		if len(p.Value) > maxValueBytes {
			return http.StatusBadRequest
		}
	}
	for _, key := range keys {
		if len(key) > maxKeyBytes {
			return http.StatusBadRequest
		}
		if slices.ContainsFunc(reservedPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) }) {
			return http.StatusForbidden
		}
	}
	return 0
}

func (s *Store) commitTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []storeItem `json:"expect_rev"`
		Puts   []storeItem `json:"puts"`
		Remove []string    `json:"remove"`
	}
	if !readJSON(w, r, &in) {
		return
	}
	if status := checkTxn(len(in.Expect)+len(in.Puts)+len(in.Remove), in.Puts, in.Remove); status != 0 {
		w.WriteHeader(status)
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

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
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
	l.timer = time.AfterFunc(l.ttl, func() { s.endLease(id) })
	s.leases[id] = l
	writeJSON(w, map[string]int64{"lease": id, "ttl_ms": in.TTL})
}

// endLease ends a lease that expired or was revoked.
func (s *Store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLease(id)
}

// removeLease removes a lease and the keys attached to it. The caller holds mu.
func (s *Store) removeLease(id int64) {
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

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
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

func (s *Store) revokeLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.endLease(id)
	writeJSON(w, map[string]int64{})
}

// Close stops the expiry timers of all leases.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
