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

// A large value goes from one node to all others of its data hall, over a link
// that may carry 10 Mbit/s. Values of such a size are declarations, whose
// names and fields repeat: one of 268 kB with 1,600 routes takes 28 kB packed
// (TestPacked), and is then known to 30 followers over such a link within 3 s.
// Those who have the value before it get only what has changed (difference.go).

// maxDecompressedBytes bounds a value that is unpacked, in bytes: four times what the
// platform's store holds under one key.
const maxDecompressedBytes = 16 << 20

// followReply is a mirror.Batch on the wire.
type followReply struct {
	Items    []followItem  `cbor:"1,keyasint"`
	Revision int64         `cbor:"2,keyasint"`
	Snapshot bool          `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint,omitempty"`
	Waited   time.Duration `cbor:"5,keyasint,omitempty"`
}

// followItem is a mirror.Item on the wire.
type followItem struct {
	Key        string `cbor:"1,keyasint"`
	Value      []byte `cbor:"2,keyasint,omitempty"`
	Revision   int64  `cbor:"3,keyasint"`
	Deleted    bool   `cbor:"4,keyasint,omitempty"`
	Compressed bool   `cbor:"5,keyasint,omitempty"`
	Lease      int64  `cbor:"6,keyasint,omitempty"`
	// BaseRevision is the revision of the value that Value is the difference from; zero
	// if it stands by itself.
	BaseRevision int64 `cbor:"7,keyasint,omitempty"`
}

// decode returns what the reply tells to a node that holds the values in known.
func (r followReply) decode(known func(key string) (mirror.Item, bool)) (mirror.Batch, error) {
	b := mirror.Batch{Revision: r.Revision, Whole: r.Snapshot, Age: r.Age, Held: r.Waited}
	for _, i := range r.Items {
		value, err := i.decodeValue(known)
		if err != nil {
			return mirror.Batch{}, err
		}
		b.Items = append(b.Items, mirror.Item{Key: i.Key, Value: value, Revision: i.Revision, Deleted: i.Deleted, Lease: i.Lease})
	}
	return b, nil
}

// decodeValue returns the item's value as the sender holds it.
func (i followItem) decodeValue(known func(key string) (mirror.Item, bool)) ([]byte, error) {
	var value []byte
	var err error
	switch {
	case i.BaseRevision != 0:
		base, ok := known(i.Key)
		if !ok || base.Revision != i.BaseRevision {
			return nil, errs.New(UnknownBase, "follow", "%s is told from revision %d, known is %d", i.Key, i.BaseRevision, base.Revision)
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

// batchEncoder packs values, each once for all peers that ask. It is safe for
// concurrent use.
type batchEncoder struct {
	// previous returns what a key held before its last change.
	previous func(key string) (mirror.Item, bool)

	mu sync.Mutex
	// compressed and differences are by key what was packed last.
	compressed, deltas map[string]encodedValue
}

// encodedValue is a value of a revision; base is that of the value that it is the
// difference from, zero for none.
type encodedValue struct {
	revision, baseRevision int64
	data                   []byte
}

func newBatchEncoder(before func(key string) (mirror.Item, bool)) *batchEncoder {
	return &batchEncoder{previous: before, compressed: make(map[string]encodedValue), deltas: make(map[string]encodedValue)}
}

// encode makes the answer to a peer's request.
func (p *batchEncoder) encode(b mirror.Batch, r followRequest) (followReply, error) {
	reply := followReply{Revision: b.Revision, Snapshot: b.Whole, Age: b.Age, Waited: b.Held}
	for _, item := range b.Items {
		i, err := p.encodeItem(item, r)
		if err != nil {
			return followReply{}, err
		}
		reply.Items = append(reply.Items, i)
	}
	return reply, nil
}

// encodeItem makes the part of an answer that tells of one key, in the fewest bytes that
// the peer can read.
func (p *batchEncoder) encodeItem(item mirror.Item, r followRequest) (followItem, error) {
	i := followItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted, Lease: item.Lease}
	if len(item.Value) < mirror.LargeValue {
		return i, nil
	}
	var err error
	base, ok := p.previous(item.Key)
	switch {
	case r.AcceptDeltas && ok && base.Revision <= r.After && base.Revision < item.Revision:
		i.BaseRevision = base.Revision
		i.Value, err = p.cached(p.deltas, item, base.Revision, func() ([]byte, error) { return encodeDelta(base.Value, item.Value) })
	case r.AcceptCompressed:
		i.Compressed = true
		i.Value, err = p.cached(p.compressed, item, 0, func() ([]byte, error) { return compress(item.Value) })
	}
	return i, err
}

// cached returns an item as encode packs it, which is kept in done. The peers of a
// hall ask for a new value all at once; those that come second wait for the first.
func (p *batchEncoder) cached(done map[string]encodedValue, item mirror.Item, base int64, encode func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := done[item.Key]; ok && known.revision == item.Revision && known.baseRevision == base {
		return known.data, nil
	}
	data, err := encode()
	if err == nil {
		done[item.Key] = encodedValue{item.Revision, base, data}
	}
	return data, err
}

// compress packs a value.
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
		err = errs.New(Malformed, "unpack", "more than %d bytes", maxDecompressedBytes)
	}
	return value, err
}
