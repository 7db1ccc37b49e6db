// Package document updates small documents in the platform's key-value
// service by compare-and-swap.
//
// A write can take effect although its response is lost, so a change is a
// function of the current value that may be called several times: [Update]
// reads, changes and swaps, and after a lost response reads the value again to
// find out whether its write took effect.
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

	// Unavailable means that the service did not respond and that no write of
	// this change is known to have taken effect.
	Unavailable = namespace.NewType("unavailable")
	// Contended means that concurrent writers changed the document at each attempt.
	Contended = namespace.NewType("contended")
)

// ErrUnchanged is returned by a change function that leaves the document as it is.
var ErrUnchanged = errors.New("document is unchanged")

// Store is the part of the key-value service that Update uses. Revision zero means
// that the key does not exist. Swap writes only if the key has the expected
// revision, and reports whether it did.
type Store interface {
	Get(ctx context.Context, key string) (data []byte, revision int64, err error)
	Swap(ctx context.Context, key string, data []byte, expected int64) (revision int64, won bool, err error)
}

// Item is a document and the revision at which it was last written.
type Item struct {
	Data     []byte `json:"data"`
	Revision int64  `json:"revision"`
}

const (
	maxAttempts = 12
	maxBackoff  = 40 * time.Millisecond
)

// Update applies change to the document and retries on conflicts. It returns the
// document as written, or as read if change returns an error. Other errors are
// Unavailable and Contended.
func Update(ctx context.Context, store Store, key string, change func(old []byte) ([]byte, error)) (Item, error) {
	var unconfirmed []byte
	for attempt := range maxAttempts {
		old, revision, err := store.Get(ctx, key)
		if err != nil {
			return Item{}, errs.Wrap(Unavailable, "update", err, "document %s", key)
		}
		if unconfirmed != nil && bytes.Equal(unconfirmed, old) {
			return Item{Data: old, Revision: revision}, nil
		}
		changed, err := change(old)
		if err != nil {
			return Item{Data: old, Revision: revision}, err
		}
		next, won, err := store.Swap(ctx, key, changed, revision)
		switch {
		case err != nil:
			unconfirmed = changed
		case won:
			return Item{Data: changed, Revision: next}, nil
		}
		if err := backoff(ctx, attempt); err != nil {
			return Item{}, errs.Wrap(Unavailable, "update", err, "document %s", key)
		}
	}
	return Item{}, errs.New(Contended, "update", "document %s changed %d times meanwhile", key, maxAttempts)
}

// backoff waits for a random time whose bound doubles with each attempt, so that
// concurrent writers do not collide again.
func backoff(ctx context.Context, attempt int) error {
	timer := time.NewTimer(rand.N(min(maxBackoff, time.Millisecond<<attempt)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
