package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/violettally/violettally/document"
)

// ArchiveName is the name of the archive, the journal into which closed journals
// are merged. Without it the number of journals would grow with every VM that is
// replaced.
const ArchiveName = "archive"

// archiveDelay is how long a closed journal is kept separately, in case its owner
// was only paused. A process that was paused for longer does not come back: its
// VM has been replaced.
const archiveDelay = 24 * time.Hour

// archiveClosed moves closed journals into the archive. It first adds their
// totals and names to the archive, then deletes the journals; a later round
// removes the names of those deleted. The names prevent a journal from being
// counted twice when a round is interrupted and the next one continues it.
func (c *Closer) archiveClosed(ctx context.Context, stored []Snapshot) error {
	var expired, existing []string
	snapshots := make(map[string]Snapshot)
	for _, a := range stored {
		existing = append(existing, a.Journal)
		if a.Closed && a.Journal != ArchiveName && c.timers.Now().Sub(a.ClosedAt) > archiveDelay {
			expired = append(expired, a.Journal)
			snapshots[a.Journal] = a
		}
	}
	if len(expired) == 0 {
		return nil
	}
	_, err := document.Update(ctx, c.store, Key(ArchiveName), func(data []byte) ([]byte, error) {
		archive, err := Decode(data, ArchiveName)
		if err != nil {
			return nil, err
		}
		return json.Marshal(addToArchive(archive, expired, snapshots, existing))
	})
	if err != nil {
		return err
	}
	for _, journal := range expired {
		if err := c.deleteArchived(ctx, journal); err != nil {
			return err
		}
	}
	return nil
}

// addToArchive adds the expired journals that the archive does not contain yet,
// and removes the names of those that no longer exist separately.
func addToArchive(archive Snapshot, expired []string, snapshots map[string]Snapshot, existing []string) Snapshot {
	archive.Closed = true
	var names []string
	for _, name := range archive.Archived {
		if slices.Contains(existing, name) {
			names = append(names, name)
		}
	}
	for _, name := range expired {
		if slices.Contains(archive.Archived, name) {
			continue
		}
		for key, sum := range snapshots[name].Totals {
			archive.add(key, sum)
		}
		names = append(names, name)
	}
	archive.Archived = names
	return archive
}

// errChangedAfterClose says that a journal was changed after it was closed, which
// must not happen.
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
