package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/violettally/violettally/document"
)

// ArchiveName is the journal that takes up the closed ones, or they would grow in
// number with every VM that was ever replaced.
const ArchiveName = "archive"

// archiveDelay is how long a closed journal stands by itself, for an owner that
// was only paused. A process that was paused for longer than this does not
// come back: its VM has been replaced.
const archiveDelay = 24 * time.Hour

// archiveClosed moves closed journals into the archive: first their sums, together
// with their names, then the journals themselves, then the names. Whatever is
// cut short goes on in the next round without counting anything twice.
func (c *Closer) archiveClosed(ctx context.Context, stored []Snapshot) error {
	var old, standing []string
	sums := make(map[string]Snapshot)
	for _, a := range stored {
		standing = append(standing, a.Journal)
		if a.Closed && a.Journal != ArchiveName && c.timers.Now().Sub(a.ClosedAt) > archiveDelay {
			old = append(old, a.Journal)
			sums[a.Journal] = a
		}
	}
	if len(old) == 0 {
		return nil
	}
	_, err := document.Update(ctx, c.store, Key(ArchiveName), func(data []byte) ([]byte, error) {
		archive, err := Decode(data, ArchiveName)
		if err != nil {
			return nil, err
		}
		return json.Marshal(addToArchive(archive, old, sums, standing))
	})
	if err != nil {
		return err
	}
	for _, journal := range old {
		if err := c.deleteArchived(ctx, journal); err != nil {
			return err
		}
	}
	return nil
}

// addToArchive adds the old journals that the archive does not have yet, and forgets
// the names of those that do not stand beside it any more.
func addToArchive(archive Snapshot, old []string, sums map[string]Snapshot, standing []string) Snapshot {
	archive.Closed = true
	var names []string
	for _, name := range archive.Archived {
		if slices.Contains(standing, name) {
			names = append(names, name)
		}
	}
	for _, name := range old {
		if slices.Contains(archive.Archived, name) {
			continue
		}
		for line, sum := range sums[name].Totals {
			archive.add(line, sum)
		}
		names = append(names, name)
	}
	archive.Archived = names
	return archive
}

// errChangedAfterClose says that a journal changed after it was closed, which nothing
// does.
var errChangedAfterClose = errors.New("a closed journal changed")

func (c *Closer) deleteArchived(ctx context.Context, journal string) error {
	_, revision, err := c.store.Get(ctx, Key(journal))
	if err != nil || revision == 0 {
		return err
	}
	removed, err := c.store.Delete(ctx, Key(journal), revision)
	if err == nil && !removed {
		return errChangedAfterClose
	}
	return err
}
