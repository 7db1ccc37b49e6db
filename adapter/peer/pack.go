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

// unpackedMax bounds a value that is unpacked, in bytes: four times what the
// platform's store holds under one key.
const unpackedMax = 16 << 20

// followReply is a mirror.Batch on the wire.
type followReply struct {
	Items    []followItem  `cbor:"1,keyasint"`
	Revision int64         `cbor:"2,keyasint"`
	Whole    bool          `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint,omitempty"`
	Held     time.Duration `cbor:"5,keyasint,omitempty"`
}

// followItem is a mirror.Item on the wire.
type followItem struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	Packed   bool   `cbor:"5,keyasint,omitempty"`
	Lease    int64  `cbor:"6,keyasint,omitempty"`
	// Base is the revision of the value that Value is the difference from; zero
	// if it stands by itself.
	Base int64 `cbor:"7,keyasint,omitempty"`
}

// batch returns what the reply tells to a node that holds the values in known.
func (r followReply) batch(known func(key string) (mirror.Item, bool)) (mirror.Batch, error) {
	b := mirror.Batch{Revision: r.Revision, Whole: r.Whole, Age: r.Age, Held: r.Held}
	for _, i := range r.Items {
		value, err := i.value(known)
		if err != nil {
			return mirror.Batch{}, err
		}
		b.Items = append(b.Items, mirror.Item{Key: i.Key, Value: value, Revision: i.Revision, Deleted: i.Deleted, Lease: i.Lease})
	}
	return b, nil
}

// value returns the item's value as the sender holds it.
func (i followItem) value(known func(key string) (mirror.Item, bool)) ([]byte, error) {
	var value []byte
	var err error
	switch {
	case i.Base != 0:
		base, ok := known(i.Key)
		if !ok || base.Revision != i.Base {
			return nil, errs.New(UnknownBase, "follow", "%s is told from revision %d, known is %d", i.Key, i.Base, base.Revision)
		}
		value, err = applyDifference(base.Value, i.Value)
	case i.Packed:
		value, err = unpack(i.Value)
	default:
		value = i.Value
	}
	if err != nil {
		return nil, errs.Wrap(Malformed, "follow", err, "value of %s", i.Key)
	}
	return value, nil
}

// packer packs values, each once for all peers that ask. It is safe for
// concurrent use.
type packer struct {
	// before returns what a key held before its last change.
	before func(key string) (mirror.Item, bool)

	mu sync.Mutex
	// wholes and differences are by key what was packed last.
	wholes, differences map[string]packedValue
}

// packedValue is a value of a revision; base is that of the value that it is the
// difference from, zero for none.
type packedValue struct {
	revision, base int64
	data           []byte
}

func newPacker(before func(key string) (mirror.Item, bool)) *packer {
	return &packer{before: before, wholes: make(map[string]packedValue), differences: make(map[string]packedValue)}
}

// reply makes the answer to a peer's request.
func (p *packer) reply(b mirror.Batch, r followRequest) (followReply, error) {
	reply := followReply{Revision: b.Revision, Whole: b.Whole, Age: b.Age, Held: b.Held}
	for _, item := range b.Items {
		i, err := p.item(item, r)
		if err != nil {
			return followReply{}, err
		}
		reply.Items = append(reply.Items, i)
	}
	return reply, nil
}

// item makes the part of an answer that tells of one key, in the fewest bytes that
// the peer can read.
func (p *packer) item(item mirror.Item, r followRequest) (followItem, error) {
	i := followItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted, Lease: item.Lease}
	if len(item.Value) < mirror.LargeValue {
		return i, nil
	}
	var err error
	base, ok := p.before(item.Key)
	switch {
	case r.Differences && ok && base.Revision <= r.After && base.Revision < item.Revision:
		i.Base = base.Revision
		i.Value, err = p.once(p.differences, item, base.Revision, func() ([]byte, error) { return difference(base.Value, item.Value) })
	case r.Packed:
		i.Packed = true
		i.Value, err = p.once(p.wholes, item, 0, func() ([]byte, error) { return pack(item.Value) })
	}
	return i, err
}

// once returns an item as encode packs it, which is kept in done. The peers of a
// hall ask for a new value all at once; those that come second wait for the first.
func (p *packer) once(done map[string]packedValue, item mirror.Item, base int64, encode func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := done[item.Key]; ok && known.revision == item.Revision && known.base == base {
		return known.data, nil
	}
	data, err := encode()
	if err == nil {
		done[item.Key] = packedValue{item.Revision, base, data}
	}
	return data, err
}

// pack packs a value.
func pack(value []byte) ([]byte, error) {
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

func unpack(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	value, err := io.ReadAll(io.LimitReader(r, unpackedMax+1))
	if err == nil && len(value) > unpackedMax {
		err = errs.New(Malformed, "unpack", "more than %d bytes", unpackedMax)
	}
	return value, err
}
