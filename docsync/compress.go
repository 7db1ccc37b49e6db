package docsync

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("spread")

	// Malformed is the type of errors about stored documents that cannot be
	// decompressed.
	Malformed = namespace.NewType("malformed")
)

// maxExpandedBytes limits the size of a document after decompression.
const maxExpandedBytes = 64 << 20

// compress returns a document in the gzip format (RFC 1952) in which it is
// stored.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress returns the content of a stored document. A document that an
// operator wrote by hand may be uncompressed.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, []byte{0x1f, 0x8b}) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errs.Wrap(Malformed, "expand", err, "stored document")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxExpandedBytes))
	if err != nil {
		return nil, errs.Wrap(Malformed, "expand", err, "stored document")
	}
	return plain, nil
}
