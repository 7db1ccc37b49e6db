// Package control applies configurations that operators submit.
//
// A configuration is validated as a whole and then written by one
// compare-and-swap, so it is accepted entirely or not at all. If another operator
// was faster, the error names the operator, and the result lists what differs. If the
// platform's response is lost after the write took effect, the change is found in
// the store by its ID, so it is safe to send the same change again.
//
// # Usage
//
//	result, err := control.Apply(ctx, store, name, control.Change{…}, time.Now())
package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("control")

	// Raced means that the revision in force is not the expected one.
	Raced = namespace.NewType("raced")
	// Unknown means that the platform did not respond. The change may have
	// taken effect; the same change may be sent again.
	Unknown = namespace.NewType("unknown")
	// Malformed means that the stored configuration cannot be decoded.
	Malformed = namespace.NewType("malformed")
)

// DocumentStore updates the stored configuration and puts the new one in force.
type DocumentStore interface {
	Update(ctx context.Context, name string, change func(old []byte) ([]byte, error)) (document.Item, error)
}

// AnyRevision as the expected revision matches any revision.
const AnyRevision = -1

// Change is a configuration that an operator submits.
type Change struct {
	// ID identifies the change. It is the same when the change is sent again.
	ID       string
	Operator string
	File     string
	Source   string
	// Expected is the revision that the operator expects to replace.
	Expected int64
}

// Result is the configuration in force after Apply. If Apply fails with Raced,
// Differs has the paths at which it differs from the submitted one.
type Result struct {
	InForce config.Document
	Differs []string
}

// Apply puts a validated change in force. The source must have passed
// config.Parse. Errors are Raced and Unknown.
func Apply(ctx context.Context, store DocumentStore, name string, c Change, now time.Time) (Result, error) {
	var before config.Document
	_, err := store.Update(ctx, name, func(old []byte) ([]byte, error) {
		var err error
		if before, err = Decode(old); err != nil {
			return nil, err
		}
		if before.ChangeID == c.ID {
			return nil, document.ErrUnchanged
		}
		if c.Expected != AnyRevision && c.Expected != before.Revision {
			return nil, errs.New(Raced, "apply", "revision %d is in force, applied by %s; expected %d", before.Revision, before.By, c.Expected)
		}
		return json.Marshal(c.document(before.Revision+1, now))
	})
	switch {
	case err == document.ErrUnchanged:
		return Result{InForce: before}, nil
	case err == nil && before.ChangeID == c.ID:
		return Result{InForce: before}, nil
	case err == nil:
		return Result{InForce: c.document(before.Revision+1, now)}, nil
	case isRace(err):
		return Result{InForce: before, Differs: config.Diff(c.Source, before.Source)}, err
	default:
		return Result{}, errs.Wrap(Unknown, "apply", err, "change %s may or may not be in force", c.ID)
	}
}

func (c Change) document(revision int64, now time.Time) config.Document {
	return config.Document{
		Revision:  revision,
		ChangeID:  c.ID,
		By:        c.Operator,
		AppliedAt: now.UTC(),
		File:      c.File,
		Source:    c.Source,
	}
}

// Decode decodes a stored configuration. Empty data is the zero Document.
func Decode(data []byte) (config.Document, error) {
	var d config.Document
	if len(data) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return d, errs.Wrap(Malformed, "decode", err, "stored configuration")
	}
	return d, nil
}

func isRace(err error) bool { return errorx.IsOfType(err, Raced) }
