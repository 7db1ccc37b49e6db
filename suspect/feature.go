package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
)

// Feature is a digest of something that requests may have in common: a part of their prompts, or
// the whole content that servers receive. It reveals nothing of the text.
type Feature uint64

// String formats a feature as log lines, decisions and keys of the store show it.
func (f Feature) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Features are the features of one request: the parts of its prompt in their order, and last its
// content, so that later ones are shared by fewer requests.
type Features []Feature

// maxParts bounds the parts that count, whatever clients send. Of a longer prompt the last parts
// count, since many requests share the first ones and some of these are answered.
const maxParts = 16

// NewFeatures returns the features of a request with the given path, beginning and length of its
// body, and parts of its prompt that other prompts may share. Two requests of one length that
// differ only after a long beginning have the same content.
func NewFeatures(path string, body []byte, length int64, parts []string) Features {
	parts = parts[max(0, len(parts)-maxParts):]
	features := make(Features, 0, len(parts)+1)
	for _, id := range parts {
		if f := PartFeature(id); !slices.Contains(features, f) {
			features = append(features, f)
		}
	}
	return append(features, contentFeature(path, body, length))
}

// partMark distinguishes the input for a part from that for a content, which begins with a path.
const partMark = 1

// PartFeature returns the feature of a prompt part, given its ID.
func PartFeature(id string) Feature {
	return firstBytes(sha256.Sum256(append([]byte{partMark}, id...)))
}

// contentFeature returns the feature of a content.
func contentFeature(path string, body []byte, length int64) Feature {
	hash := sha256.New()
	hash.Write([]byte(path))
	hash.Write([]byte{0})
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(length)))
	hash.Write(body)
	return firstBytes([sha256.Size]byte(hash.Sum(nil)))
}

// firstBytes returns the feature of a hash. It is never zero.
func firstBytes(hash [sha256.Size]byte) Feature {
	return Feature(max(1, binary.BigEndian.Uint64(hash[:])))
}

// parts returns the features of the parts of the request's prompt.
func (f Features) parts() Features { return f[:len(f)-1] }

// content returns the feature of the request's content.
func (f Features) content() Feature { return f[len(f)-1] }
