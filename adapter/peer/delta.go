package peer

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// A change of a large declaration is small against it, but comes as a whole new
// value. Told as the difference from the value before, 1,400 routes more are 24 kB
// whatever stands beside them; as a whole of 6,200 routes they were 110 kB packed,
// which 30 followers take longer to get over a link of 10 Mbit/s than a call may
// last (TestLargestDeclaration).

// dictionaryID names the earlier value in what is packed from it: a format's detail,
// since both ends know which one it is.
const dictionaryID = 1

// encodeDelta packs a value from an earlier one.
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

// windowSize is the least window that reaches back over so many bytes: a power of two,
// as the format wants it.
func windowSize(size int) int { return min(1<<bits.Len(uint(size)), maxDecompressedBytes) }

// decodeDelta returns the value that was packed from an earlier one.
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
