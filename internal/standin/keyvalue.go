package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// KeyValue is an in-memory stand-in for the platform's key-value service: the JSON
// gateway of etcd's v3 API, limited to the calls that the system uses.
type KeyValue struct {
	faultInjector
	mu       sync.Mutex
	revision int64
	keys     map[string]keyValueJSON
	leases   map[int64]*keyValueLease
	nextID   int64
	watchers map[chan eventJSON]rangeJSON
	calls    map[string]int64
}

type keyValueJSON struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string,omitempty"`
}

type keyValueLease struct {
	ttl   time.Duration
	timer *time.Timer
}

type eventJSON struct {
	Type string       `json:"type,omitempty"`
	KV   keyValueJSON `json:"kv"`
}

// NewKeyValue returns an empty store.
func NewKeyValue() *KeyValue {
	return &KeyValue{
		keys:     make(map[string]keyValueJSON),
		leases:   make(map[int64]*keyValueLease),
		watchers: make(map[chan eventJSON]rangeJSON),
		calls:    make(map[string]int64),
	}
}

// Handler returns the HTTP handler of the store.
func (s *KeyValue) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.countCalls("range", s.rangeKeys))
	mux.HandleFunc("POST /v3/kv/txn", s.countCalls("txn", s.txn))
	mux.HandleFunc("POST /v3/lease/grant", s.countCalls("grant", s.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", s.countCalls("keepalive", s.keepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", s.countCalls("revoke", s.revoke))
	mux.HandleFunc("POST /v3/watch", s.countCalls("watch", s.watch))
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, s.calls)
	})
	return s.wrap(mux)
}

func (s *KeyValue) countCalls(name string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[name]++
		s.mu.Unlock()
		next(w, r)
	}
}

type headerJSON struct {
	Revision int64 `json:"revision,string"`
}

type rangeJSON struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	KeysOnly bool   `json:"keys_only"`
}

func (s *KeyValue) rangeKeys(w http.ResponseWriter, r *http.Request) {
	var in rangeJSON
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.find(in)
	writeJSON(w, struct {
		Header headerJSON     `json:"header"`
		KVs    []keyValueJSON `json:"kvs"`
		Count  int64          `json:"count,string"`
	}{headerJSON{s.revision}, found, int64(len(found))})
}

// contains reports whether a key is in the range.
func (r rangeJSON) contains(key string) bool {
	if len(r.RangeEnd) == 0 {
		return key == string(r.Key)
	}
	return key >= string(r.Key) && key < string(r.RangeEnd)
}

func (s *KeyValue) find(in rangeJSON) []keyValueJSON {
	var found []keyValueJSON
	for key, kv := range s.keys {
		if in.contains(key) {
			if in.KeysOnly {
				kv.Value = nil
			}
			found = append(found, kv)
		}
	}
	sort.Slice(found, func(i, j int) bool { return bytes.Compare(found[i].Key, found[j].Key) < 0 })
	return found
}

type txnJSON struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put *struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
		Delete *rangeJSON `json:"request_delete_range"`
	} `json:"success"`
}

func (s *KeyValue) txn(w http.ResponseWriter, r *http.Request) {
	var in txnJSON
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := true
	for _, c := range in.Compare {
		succeeded = succeeded && s.keys[string(c.Key)].ModRevision == c.ModRevision
	}
	if succeeded {
		s.revision++
		for _, op := range in.Success {
			if op.Put != nil {
				s.put(keyValueJSON{Key: op.Put.Key, Value: op.Put.Value, ModRevision: s.revision, Lease: op.Put.Lease})
			}
			if op.Delete != nil {
				s.remove(string(op.Delete.Key))
			}
		}
	}
	writeJSON(w, struct {
		Header    headerJSON `json:"header"`
		Succeeded bool       `json:"succeeded"`
	}{headerJSON{s.revision}, succeeded})
}

func (s *KeyValue) put(kv keyValueJSON) {
	s.keys[string(kv.Key)] = kv
	s.notify(string(kv.Key), eventJSON{KV: kv})
}

func (s *KeyValue) remove(key string) {
	kv, ok := s.keys[key]
	if !ok {
		return
	}
	delete(s.keys, key)
	s.notify(key, eventJSON{Type: "DELETE", KV: keyValueJSON{Key: kv.Key, ModRevision: s.revision}})
}

func (s *KeyValue) notify(key string, e eventJSON) {
	for watcher, watched := range s.watchers {
		if watched.contains(key) {
			select {
			case watcher <- e:
			default:
			}
		}
	}
}

type leaseJSON struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (s *KeyValue) grant(w http.ResponseWriter, r *http.Request) {
	var in leaseJSON
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(in.TTL)*time.Second
	s.leases[id] = &keyValueLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	writeJSON(w, leaseJSON{ID: id, TTL: in.TTL})
}

func (s *KeyValue) keepAlive(w http.ResponseWriter, r *http.Request) {
	var in leaseJSON
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := leaseJSON{ID: in.ID}
	if l := s.leases[in.ID]; l != nil {
		l.timer.Reset(l.ttl)
		out.TTL = int64(l.ttl / time.Second)
	}
	writeJSON(w, map[string]leaseJSON{"result": out})
}

func (s *KeyValue) revoke(w http.ResponseWriter, r *http.Request) {
	var in leaseJSON
	if !readJSON(w, r, &in) {
		return
	}
	s.endLease(in.ID)
	writeJSON(w, struct{}{})
}

func (s *KeyValue) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, kv := range s.keys {
		if kv.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *KeyValue) watch(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Create struct {
			rangeJSON
			StartRevision int64 `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if !readJSON(w, r, &in) {
		return
	}
	events := make(chan eventJSON, 1024)
	s.mu.Lock()
	for _, kv := range s.find(in.Create.rangeJSON) {
		if kv.ModRevision >= in.Create.StartRevision {
			events <- eventJSON{KV: kv}
		}
	}
	s.watchers[events] = in.Create.rangeJSON
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, events)
	}()
	s.streamEvents(w, r, events)
}

func (s *KeyValue) streamEvents(w http.ResponseWriter, r *http.Request, events <-chan eventJSON) {
	encoder := json.NewEncoder(w)
	flusher, _ := w.(http.Flusher)
	_ = encoder.Encode(map[string]any{"result": map[string]bool{"created": true}})
	flusher.Flush()
	downCheck := time.NewTicker(50 * time.Millisecond)
	defer downCheck.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-downCheck.C:
			if s.get().Down {
				panic(http.ErrAbortHandler)
			}
		case e := <-events:
			_ = encoder.Encode(map[string]any{"result": map[string]any{"events": []eventJSON{e}}})
			flusher.Flush()
		}
	}
}
