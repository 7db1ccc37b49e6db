// Package document changes small documents in the platform's key-value
// service by compare-and-swap.
//
// The service can take a write and lose the answer, so a change is a function
// of the present value that may run several times: [Update] reads, changes,
// swaps, and after a lost answer reads back to learn whether its write took
// effect.
//
// # Usage
//
//	item, err := document.Update(ctx, store, "view", func(old []byte) ([]byte, error) {
//		return json.Marshal(withMember(old, self))
//	})
package document

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("document")

	// Unavailable says that the service did not answer and that no write of
	// this change is known to have taken effect.
	Unavailable = namespace.NewType("unavailable")
	// Contended says that others kept changing the document.
	Contended = namespace.NewType("contended")
)

// ErrUnchanged is returned by a change that leaves the document as it is.
var ErrUnchanged = errors.New("document is unchanged")

// Store is what Update needs of the key-value service. Revision zero stands
// for "no such key".
type Store interface {
	Get(ctx context.Context, key string) (data []byte, revision int64, err error)
	Swap(ctx context.Context, key string, data []byte, expected int64) (revision int64, won bool, err error)
}

// Item is a document with the revision at which it was last written.
type Item struct {
	Data     []byte `json:"data"`
	Revision int64  `json:"revision"`
}

const (
	maxAttempts = 12
	maxPause    = 40 * time.Millisecond
)

// Update applies change to the document until its write wins. It returns the
// document as it then is; with ErrUnchanged, the document as read.
func Update(ctx context.Context, store Store, key string, change func(old []byte) ([]byte, error)) (Item, error) {
	var lost []byte
	for attempt := range maxAttempts {
		old, revision, err := store.Get(ctx, key)
		if err != nil {
			return Item{}, errs.Wrap(Unavailable, "update", err, "document %s", key)
		}
		if lost != nil && bytes.Equal(lost, old) {
			return Item{Data: old, Revision: revision}, nil
		}
		changed, err := change(old)
		if err != nil {
			return Item{Data: old, Revision: revision}, err
		}
		next, won, err := store.Swap(ctx, key, changed, revision)
		switch {
		case err != nil:
			lost = changed
		case won:
			return Item{Data: changed, Revision: next}, nil
		}
		if err := pause(ctx, attempt); err != nil {
			return Item{}, errs.Wrap(Unavailable, "update", err, "document %s", key)
		}
	}
	return Item{}, errs.New(Contended, "update", "document %s changed %d times meanwhile", key, maxAttempts)
}

// pause waits for a random time that grows with the attempt, so that racing
// writers part.
func pause(ctx context.Context, attempt int) error {
	timer := time.NewTimer(rand.N(min(maxPause, time.Millisecond<<attempt)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
