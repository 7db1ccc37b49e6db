// Package control applies the operators' configurations.
//
// A configuration is checked whole and then written by one compare-and-swap,
// so it is accepted entirely or not at all. The loser of a race is told who
// won and what differs. If the platform's answer is lost after the write took
// effect, reading back finds the change by its ID, so the same apply can be
// sent again without harm.
//
// # Usage
//
//	result, err := control.Apply(ctx, shared, control.Change{…}, time.Now())
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

	// Raced says that another revision is in force than the one expected.
	Raced = namespace.NewType("raced")
	// Unknown says that the platform did not answer; the change may have
	// taken effect, and the same apply may be sent again.
	Unknown = namespace.NewType("unknown")
	// Malformed says that the stored configuration cannot be read.
	Malformed = namespace.NewType("malformed")
)

// DocumentStore changes the configuration at the platform and puts it in force.
type DocumentStore interface {
	Update(ctx context.Context, name string, change func(old []byte) ([]byte, error)) (document.Item, error)
}

// AnyRevision as the expected revision takes whatever is in force.
const AnyRevision = -1

// Change is one configuration that an operator wants in force.
type Change struct {
	// ID names the change; a repeated apply has the same one.
	ID       string
	Operator string
	File     string
	Source   string
	// Expected is the revision that the operator has seen.
	Expected int64
}

// Result is the configuration in force after an apply, and for the loser of a
// race the paths at which it differs from what the loser wanted.
type Result struct {
	InForce config.Document
	Differs []string
}

// Apply puts a checked change in force. The source must have passed
// config.Parse.
func Apply(ctx context.Context, shared DocumentStore, name string, c Change, now time.Time) (Result, error) {
	var before config.Document
	_, err := shared.Update(ctx, name, func(old []byte) ([]byte, error) {
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

// Decode reads a stored configuration; no data stands for none.
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
