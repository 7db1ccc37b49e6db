package peer

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Entries of servers repeat their field names and differ in few bytes, so many of them
// compress to less than a quarter. The changes of a start or of a rollout, and snapshots, are
// therefore sent in one compressed block.

const (
	// packWindow is the compressor's window. Entries resemble the ones just before, so a small
	// one is enough, and its memory matters on small VMs.
	packWindow = 256 << 10
	// maxUnpackedBytes is the largest size of unpacked items.
	maxUnpackedBytes = 64 << 20
)

// packer and unpacker are shared by all calls of the process: their tables take some hundred
// kilobytes, too much to allocate for each batch of changes.
var (
	packer = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(packWindow), zstd.WithLowerEncoderMem(true))
	})
	unpacker = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	})
)

// packItems encodes and compresses items.
func packItems(items []followItem) ([]byte, error) {
	data, err := cbor.Marshal(items)
	if err != nil {
		return nil, err
	}
	w, err := packer()
	if err != nil {
		return nil, err
	}
	return w.EncodeAll(data, nil), nil
}

// unpackItems decodes packed items.
func unpackItems(packed []byte) ([]followItem, error) {
	r, err := unpacker()
	if err != nil {
		return nil, err
	}
	data, err := r.DecodeAll(packed, nil)
	if err != nil {
		return nil, err
	}
	var items []followItem
	err = cbor.Unmarshal(data, &items)
	return items, err
}
