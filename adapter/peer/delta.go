package peer

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// A change of a large declaration is small compared to it, but the store holds the
// whole new value. As a delta of the previous value, 1,400 more routes take 24 kB,
// however many there were before. The whole value with 6,200 routes takes 110 kB
// compressed, and sending that to 30 followers over a link of 10 Mbit/s takes longer
// than a call's timeout (TestLargestDeclaration).

// dictionaryID is the zstd dictionary id of the base value. Any fixed id works, as
// both ends know the base.
const dictionaryID = 1

// encodeDelta compresses a value with an earlier one as the dictionary.
func encodeDelta(base, value []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(dictionaryID, base),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowSize(len(base)+len(value))))
	if err != nil {
		return nil, err
	}
	defer w.Close()
	return w.EncodeAll(value, nil), nil
}

// windowSize returns the smallest window that covers a number of bytes. It is a
// power of two, as zstd requires.
func windowSize(size int) int { return min(1<<bits.Len(uint(size)), maxDecompressedBytes) }

// decodeDelta returns the value of a delta of base.
func decodeDelta(base, data []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(dictionaryID, base),
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(data, nil)
}
