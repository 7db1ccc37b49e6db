package spread

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("spread")

	// Malformed says that a stored document cannot be expanded.
	Malformed = namespace.NewType("malformed")
)

// maxExpandedBytes bounds a document after it is expanded.
const maxExpandedBytes = 64 << 20

// compress returns a document in the form in which it is stored (RFC 1952).
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

// decompress reads a stored document. One that an operator has written by hand
// need not be compressed.
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
