// Package etcd is a client of the platform's key-value service, which speaks
// etcd's v3 API as JSON over HTTP (etcd documentation, "gRPC gateway"; bytes in
// base64, 64-bit integers as strings).
//
// A write whose response is lost may have taken effect. The client never retries
// a write; it returns [Unavailable], and the caller has to read the key again
// (see package document).
//
// # Usage
//
//	store := etcd.New([]string{"http://127.0.0.1:2379"}, "violettally/")
//	data, revision, err := store.Get(ctx, "view")
//	revision, won, err := store.Swap(ctx, "view", changed, revision)
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/responsehead"
	"github.com/violettally/violettally/ledger"
)

var (
	namespace = errs.Namespace("etcd")

	// Unavailable is the error type for a missing, incomplete or 5xx response. A
	// write may have taken effect.
	Unavailable = namespace.NewType("unavailable")
	// Refused is the error type for a request that the service rejected, or that
	// could not be built. It had no effect.
	Refused = namespace.NewType("refused")
)

const (
	// callTimeout limits one call. A healthy service responds within milliseconds.
	callTimeout = 2 * time.Second
	// maxReply is the largest size of a response, or of one message of a watch, in bytes. A listing has some values of
	// 1 MB at most.
	maxReply = 64 << 20
)

// Client is a client of the key-value service. It is safe for concurrent use.
type Client struct {
	endpoints     []string
	prefix        string
	http          *http.Client
	endpointIndex atomic.Uint32
	countCall     func(operation string)
}

// Option configures a Client in New.
type Option func(*Client)

// WithCallCounter calls count once for each call to the service. The platform
// counts calls, too.
func WithCallCounter(count func(operation string)) Option {
	return func(c *Client) { c.countCall = count }
}

// New returns a client of the service at the endpoints, which are base URLs.
// Every key is prefixed with prefix.
func New(endpoints []string, prefix string, options ...Option) *Client {
	c := &Client{
		endpoints: endpoints,
		prefix:    prefix,
		countCall: func(string) {},
		http: &http.Client{Transport: responsehead.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
			MaxIdleConnsPerHost: 8,
		})},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Pair is a key-value pair of a listing. The key is without the client's prefix.
type Pair struct {
	Key      string
	Data     []byte
	Revision int64
}

// Get returns a key's value and the revision of its last write, which is zero if
// there is no such key.
func (c *Client) Get(ctx context.Context, key string) ([]byte, int64, error) {
	var out rangeResponse
	err := c.call(ctx, "range", "/v3/kv/range", rangeRequest{Key: c.key(key)}, &out)
	if err != nil || len(out.KVs) == 0 {
		return nil, 0, err
	}
	return out.KVs[0].Value, out.KVs[0].ModRevision, nil
}

// List returns all keys that start with a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Pair, error) {
	return c.list(ctx, prefix, false)
}

func (c *Client) list(ctx context.Context, prefix string, keysOnly bool) ([]Pair, error) {
	start := c.key(prefix)
	in := rangeRequest{Key: start, RangeEnd: prefixEnd(start), KeysOnly: keysOnly}
	var out rangeResponse
	if err := c.call(ctx, "range", "/v3/kv/range", in, &out); err != nil {
		return nil, err
	}
	pairs := make([]Pair, len(out.KVs))
	for i, kv := range out.KVs {
		pairs[i] = Pair{Key: string(kv.Key[len(c.prefix):]), Data: kv.Value, Revision: kv.ModRevision}
	}
	return pairs, nil
}

// Swap writes a key if its revision is the expected one; zero means that the key
// does not exist. It returns the new revision and whether the key was written.
func (c *Client) Swap(ctx context.Context, key string, data []byte, expected int64) (int64, bool, error) {
	return c.SwapLeased(ctx, key, data, expected, 0)
}

// SwapLeased is Swap with the key attached to a lease, so that it is deleted when
// the lease ends. Lease zero attaches none.
func (c *Client) SwapLeased(ctx context.Context, key string, data []byte, expected, lease int64) (int64, bool, error) {
	in := txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: c.key(key), ModRevision: expected}},
		Success: []requestOp{{Put: &putRequest{Key: c.key(key), Value: data, Lease: lease}}},
	}
	return c.txn(ctx, in)
}

// Delete removes a key if its revision is the expected one, and reports whether
// it was removed.
func (c *Client) Delete(ctx context.Context, key string, expected int64) (bool, error) {
	in := txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: c.key(key), ModRevision: expected}},
		Success: []requestOp{{Delete: &rangeRequest{Key: c.key(key)}}},
	}
	_, deleted, err := c.txn(ctx, in)
	return deleted, err
}

func (c *Client) txn(ctx context.Context, in txnRequest) (int64, bool, error) {
	var out txnResponse
	if err := c.call(ctx, "txn", "/v3/kv/txn", in, &out); err != nil {
		return 0, false, err
	}
	return out.Header.Revision, out.Succeeded, nil
}

// Grant creates a lease with a TTL, rounded up to whole seconds, and returns its
// id.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var out leaseResponse
	err := c.call(ctx, "lease_grant", "/v3/lease/grant", leaseRequest{TTL: seconds}, &out)
	return out.ID, err
}

// KeepAlive renews a lease. It returns false if the lease has ended.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	var out keepAliveResponse
	err := c.call(ctx, "lease_keepalive", "/v3/lease/keepalive", leaseRequest{ID: lease}, &out)
	return out.Result.TTL > 0, err
}

// Revoke ends a lease and deletes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	return c.call(ctx, "lease_revoke", "/v3/lease/revoke", leaseRequest{ID: lease}, new(leaseResponse))
}

// ReadPrefix returns the documents whose keys start with a prefix. The map's keys are
// without that prefix.
func (c *Client) ReadPrefix(ctx context.Context, prefix string) (map[string]document.Item, error) {
	pairs, err := c.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	items := make(map[string]document.Item, len(pairs))
	for _, pair := range pairs {
		items[strings.TrimPrefix(pair.Key, prefix)] = document.Item{Data: pair.Data, Revision: pair.Revision}
	}
	return items, nil
}

// ReadRevisions returns the revisions of the keys that start with a prefix. The
// map's keys are without that prefix.
func (c *Client) ReadRevisions(ctx context.Context, prefix string) (map[string]int64, error) {
	pairs, err := c.list(ctx, prefix, true)
	if err != nil {
		return nil, err
	}
	revisions := make(map[string]int64, len(pairs))
	for _, pair := range pairs {
		revisions[strings.TrimPrefix(pair.Key, prefix)] = pair.Revision
	}
	return revisions, nil
}

// Journals returns all journals of bills (package ledger). One that cannot be decoded hides no other.
func (c *Client) Journals(ctx context.Context) ([]ledger.Snapshot, error) {
	pairs, err := c.List(ctx, ledger.KeyPrefix)
	if err != nil {
		return nil, err
	}
	journals := make([]ledger.Snapshot, len(pairs))
	for i, pair := range pairs {
		name := strings.TrimPrefix(pair.Key, ledger.KeyPrefix)
		if journals[i], err = ledger.Decode(pair.Data, name); err != nil {
			slog.Error("a journal of bills cannot be read", "journal", name, "revision", pair.Revision, "error", err)
			journals[i] = ledger.Snapshot{Journal: name, Unreadable: true}
		}
	}
	return journals, nil
}

// WatchPrefix calls changed for each write of a key that starts with a prefix
// after the given revision. It skips deletions. It runs until the context ends or
// the connection breaks, and returns the error.
func (c *Client) WatchPrefix(ctx context.Context, prefix string, after int64, changed func(key string, item document.Item)) error {
	c.countCall("watch")
	start := c.key(prefix)
	in := watchRequest{Create: watchCreate{Key: start, RangeEnd: prefixEnd(start), StartRevision: after + 1}}
	response, err := c.post(ctx, "watch", "/v3/watch", in)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	limited := &io.LimitedReader{R: response.Body}
	decoder := json.NewDecoder(limited)
	for {
		limited.N = maxReply
		var out watchResponse
		if err := decoder.Decode(&out); err != nil {
			return errs.Wrap(Unavailable, "watch", err, "watch of prefix %s ended", prefix)
		}
		for _, event := range out.Result.Events {
			if event.Type == eventDelete {
				continue
			}
			changed(string(event.KV.Key[len(c.prefix):]), document.Item{Data: event.KV.Value, Revision: event.KV.ModRevision})
		}
	}
}

func (c *Client) key(name string) []byte { return []byte(c.prefix + name) }

// prefixEnd returns the end of the range of keys that start with a prefix, which
// is the first key after them.
func prefixEnd(prefix []byte) []byte {
	end := bytes.Clone(prefix)
	end[len(end)-1]++
	return end
}

func (c *Client) call(ctx context.Context, operation, path string, in, out any) error {
	c.countCall(operation)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.post(ctx, operation, path, in)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(out); err != nil {
		return errs.Wrap(Unavailable, operation, err, "answer of the key-value service broke off")
	}
	return nil
}

// post sends a request to the current endpoint. If it can't be reached, later
// requests go to the next endpoint.
func (c *Client) post(ctx context.Context, operation, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errs.Wrap(Refused, operation, err, "request cannot be encoded")
	}
	index := c.endpointIndex.Load()
	endpoint := c.endpoints[int(index)%len(c.endpoints)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(Refused, operation, err, "request cannot be made")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		c.endpointIndex.CompareAndSwap(index, index+1)
		return nil, errs.Wrap(Unavailable, operation, err, "key-value service")
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		kind := Refused
		if response.StatusCode >= http.StatusInternalServerError {
			kind = Unavailable
		}
		return nil, errs.New(kind, operation, "key-value service answered %d: %s", response.StatusCode, text)
	}
	return response, nil
}
