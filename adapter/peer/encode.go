package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/mirror"
)

// A large value is sent by one node to all others of its data hall, over a link that
// may have only 10 Mbit/s. Large values are declarations, which compress well: one
// with 1,600 routes takes 28 kB instead of 268 kB (TestCompression), and reaches 30
// followers over such a link within 3 s. Followers that have the previous value get
// only a delta (delta.go).

// maxDecompressedBytes is the largest size of a decompressed value, four times the
// limit of the platform's store for one value.
const maxDecompressedBytes = 16 << 20

// followReply is the message for a mirror.Batch.
type followReply struct {
	Items    []followItem  `cbor:"1,keyasint"`
	Revision int64         `cbor:"2,keyasint"`
	Snapshot bool          `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint,omitempty"`
	Waited   time.Duration `cbor:"5,keyasint,omitempty"`
	// Packed holds the items in place of Items, encoded and compressed together.
	Packed []byte `cbor:"6,keyasint,omitempty"`
	// Busy means that this node sends as many snapshots as it can, or reads the store. The reply
	// has no items.
	Busy bool `cbor:"7,keyasint,omitempty"`
	// Holders are peers that have got a snapshot from a busy node.
	Holders []string `cbor:"8,keyasint,omitempty"`
}

// followItem is the message for a mirror.Item.
type followItem struct {
	Key        string `cbor:"1,keyasint"`
	Value      []byte `cbor:"2,keyasint,omitempty"`
	Revision   int64  `cbor:"3,keyasint"`
	Deleted    bool   `cbor:"4,keyasint,omitempty"`
	Compressed bool   `cbor:"5,keyasint,omitempty"`
	Lease      int64  `cbor:"6,keyasint,omitempty"`
	// BaseRevision is the revision of the value that Value is a delta of, or zero if
	// it is no delta.
	BaseRevision int64 `cbor:"7,keyasint,omitempty"`
}

// decode returns the reply's batch. Known returns the values that the receiver has,
// the bases of deltas.
func (r followReply) decode(known func(key string) (mirror.Item, bool)) (mirror.Batch, error) {
	b := mirror.Batch{Revision: r.Revision, Snapshot: r.Snapshot, Age: r.Age, Waited: r.Waited, Busy: r.Busy, Holders: r.Holders}
	items := r.Items
	if len(r.Packed) > 0 {
		var err error
		if items, err = unpackItems(r.Packed); err != nil {
			return mirror.Batch{}, errs.Wrap(Malformed, "follow", err, "packed items")
		}
	}
	for _, i := range items {
		value, err := i.decodeValue(known)
		if err != nil {
			return mirror.Batch{}, err
		}
		b.Items = append(b.Items, mirror.Item{Key: i.Key, Value: value, Revision: i.Revision, Deleted: i.Deleted, Lease: i.Lease})
	}
	return b, nil
}

// decodeValue returns the item's value, decompressed or with its delta applied.
func (i followItem) decodeValue(known func(key string) (mirror.Item, bool)) ([]byte, error) {
	var value []byte
	var err error
	switch {
	case i.BaseRevision != 0:
		base, ok := known(i.Key)
		if !ok || base.Revision != i.BaseRevision {
			return nil, errs.New(UnknownBase, "follow", "value of %s is a delta of revision %d, but the known revision is %d", i.Key, i.BaseRevision, base.Revision)
		}
		value, err = decodeDelta(base.Value, i.Value)
	case i.Compressed:
		value, err = decompress(i.Value)
	default:
		value = i.Value
	}
	if err != nil {
		return nil, errs.Wrap(Malformed, "follow", err, "value of %s", i.Key)
	}
	return value, nil
}

// batchEncoder encodes batches, and each large value in them only once for all
// peers. It is safe for concurrent use.
type batchEncoder struct {
	// previous returns a key's value before its last change.
	previous func(key string) (mirror.Item, bool)

	mu sync.Mutex
	// compressed and deltas cache the last encoding of each key.
	compressed, deltas map[string]encodedValue
	// packed caches the last packed items, those of packedKey. Both are guarded by packing,
	// which is locked before mu.
	packing   sync.Mutex
	packedKey packKey
	packed    []byte
}

// packKey identifies the packed items of one batch. They depend on what the peer has, since large
// values are packed as deltas of that.
type packKey struct {
	revision, after  int64
	count            int
	snapshot, deltas bool
}

// encodedValue is the encoding of a value at a revision. baseRevision is that of the
// value that it is a delta of, or zero.
type encodedValue struct {
	revision, baseRevision int64
	data                   []byte
}

func newBatchEncoder(previous func(key string) (mirror.Item, bool)) *batchEncoder {
	return &batchEncoder{previous: previous, compressed: make(map[string]encodedValue), deltas: make(map[string]encodedValue)}
}

// encode returns the reply to a peer's request.
func (e *batchEncoder) encode(b mirror.Batch, r followRequest) (followReply, error) {
	reply := followReply{Revision: b.Revision, Snapshot: b.Snapshot, Age: b.Age, Waited: b.Waited, Busy: b.Busy, Holders: b.Holders}
	var err error
	if r.AcceptPacked && len(b.Items) >= minPackedItems {
		reply.Packed, err = e.pack(b, r)
		return reply, err
	}
	reply.Items, err = e.encodeItems(b.Items, r)
	return reply, err
}

// minPackedItems is the number of items from which they are packed.
const minPackedItems = 32

// encodeItems returns the messages for the items of a batch.
func (e *batchEncoder) encodeItems(items []mirror.Item, r followRequest) ([]followItem, error) {
	encoded := make([]followItem, 0, len(items))
	for _, item := range items {
		i, err := e.encodeItem(item, r)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, i)
	}
	return encoded, nil
}

// pack returns the packed items of a batch, from cache if they were packed for another peer. The
// lock is held meanwhile, as in cached.
func (e *batchEncoder) pack(b mirror.Batch, r followRequest) ([]byte, error) {
	key := packKey{revision: b.Revision, after: r.After, count: len(b.Items), snapshot: b.Snapshot, deltas: r.AcceptDeltas}
	e.packing.Lock()
	defer e.packing.Unlock()
	if e.packed != nil && e.packedKey == key {
		return e.packed, nil
	}
	items, err := e.encodeItems(b.Items, r)
	if err != nil {
		return nil, err
	}
	data, err := packItems(items)
	if err != nil {
		return nil, err
	}
	e.packedKey, e.packed = key, data
	return data, nil
}

// encodeItem returns the message for one item: a delta if the peer accepts one and
// has its base, else compressed if it accepts that. Small values are sent as is.
func (e *batchEncoder) encodeItem(item mirror.Item, r followRequest) (followItem, error) {
	i := followItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted, Lease: item.Lease}
	if len(item.Value) < mirror.LargeValueBytes {
		return i, nil
	}
	var err error
	base, ok := e.previous(item.Key)
	switch {
	case r.AcceptDeltas && ok && base.Revision <= r.After && base.Revision < item.Revision:
		i.BaseRevision = base.Revision
		i.Value, err = e.cached(e.deltas, item, base.Revision, func() ([]byte, error) { return encodeDelta(base.Value, item.Value) })
	case r.AcceptCompressed:
		i.Compressed = true
		i.Value, err = e.cached(e.compressed, item, 0, func() ([]byte, error) { return compress(item.Value) })
	}
	return i, err
}

// cached returns an item's encoding from cache, or calls encode and stores the
// result. The lock is held meanwhile: all peers of a data hall request a new value at
// the same time, and all but the first wait for its encoding.
func (e *batchEncoder) cached(cache map[string]encodedValue, item mirror.Item, base int64, encode func() ([]byte, error)) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, ok := cache[item.Key]; ok && known.revision == item.Revision && known.baseRevision == base {
		return known.data, nil
	}
	data, err := encode()
	if err == nil {
		cache[item.Key] = encodedValue{item.Revision, base, data}
	}
	return data, err
}

// compress encodes a value with DEFLATE.
func compress(value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	value, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err == nil && len(value) > maxDecompressedBytes {
		err = errs.New(Malformed, "unpack", "decompressed value has more than %d bytes", maxDecompressedBytes)
	}
	return value, err
}
