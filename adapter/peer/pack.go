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

const (
	// packFrom is the size in bytes from which values are packed. What is
	// smaller fits into a few packets, and is not worth the processor's time.
	packFrom = 8 << 10
	// unpackedMax bounds a value that is unpacked, in bytes: four times what the
	// platform's store holds under one key.
	unpackedMax = 16 << 20
)

// followReply is a mirror.Batch on the wire.
type followReply struct {
	Items    []followItem  `cbor:"1,keyasint"`
	Revision int64         `cbor:"2,keyasint"`
	Whole    bool          `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint,omitempty"`
}

// followItem is a mirror.Item on the wire.
type followItem struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	Packed   bool   `cbor:"5,keyasint,omitempty"`
	Lease    int64  `cbor:"6,keyasint,omitempty"`
}

// batch returns what the reply tells.
func (r followReply) batch() (mirror.Batch, error) {
	b := mirror.Batch{Revision: r.Revision, Whole: r.Whole, Age: r.Age}
	for _, i := range r.Items {
		value := i.Value
		if i.Packed {
			var err error
			if value, err = unpack(i.Value); err != nil {
				return mirror.Batch{}, errs.Wrap(Malformed, "follow", err, "value of %s", i.Key)
			}
		}
		b.Items = append(b.Items, mirror.Item{Key: i.Key, Value: value, Revision: i.Revision, Deleted: i.Deleted, Lease: i.Lease})
	}
	return b, nil
}

// packer packs values, each once for all peers that ask. It is safe for
// concurrent use.
type packer struct {
	mu sync.Mutex
	// last is by key the value that was packed last.
	last map[string]packedValue
}

type packedValue struct {
	revision int64
	data     []byte
}

func newPacker() *packer { return &packer{last: make(map[string]packedValue)} }

// reply makes the answer to a peer, who may or may not read packed values.
func (p *packer) reply(b mirror.Batch, packed bool) (followReply, error) {
	r := followReply{Revision: b.Revision, Whole: b.Whole, Age: b.Age}
	for _, item := range b.Items {
		i := followItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted, Lease: item.Lease}
		if packed && len(item.Value) >= packFrom {
			data, err := p.pack(item)
			if err != nil {
				return followReply{}, err
			}
			i.Value, i.Packed = data, true
		}
		r.Items = append(r.Items, i)
	}
	return r, nil
}

// pack returns an item's value packed. The peers of a hall ask for a new value
// all at once; those that come second wait for the first.
func (p *packer) pack(item mirror.Item) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.last[item.Key]; ok && known.revision == item.Revision {
		return known.data, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(item.Value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	p.last[item.Key] = packedValue{item.Revision, out.Bytes()}
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
