package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
)

// readerPrefix is the prefix of the keys that name the reader of each data hall. They are not
// attached to leases, so that gateways that have all lost their entries find one another.
const readerPrefix = "readers/"

const (
	// readerDelay is how long a gateway that starts and finds no reader leaves others to become
	// it, and earlyReaderDelay the same for one that can serve many others.
	readerDelay      = 600 * time.Millisecond
	earlyReaderDelay = 50 * time.Millisecond
)

// readerEntry is the value of a key that names a reader. Its fields are exported for the codec.
type readerEntry struct {
	Peer string `json:"peer"`
}

// readerRecord is the record of the data hall's reader, in the store.
type readerRecord struct{ g *Gateway }

func (r readerRecord) key() string { return readerPrefix + r.g.self.DataHall }

// Self returns this gateway's address for peers.
func (r readerRecord) Self() string { return r.g.self.Peer }

// Known returns the reader as of the local copy of the store.
func (r readerRecord) Known() mirror.HallReader {
	item, ok := r.g.mirror.Get(r.key())
	if !ok {
		return mirror.HallReader{}
	}
	return decodeReader(item)
}

// Current returns the present reader.
func (r readerRecord) Current(ctx context.Context, fresh bool) (mirror.HallReader, error) {
	freshness := platform.RelaxedRead
	if fresh {
		freshness = platform.FreshRead
	}
	items, err := r.g.store.ListPrefix(ctx, r.key(), freshness)
	if err != nil {
		return mirror.HallReader{}, err
	}
	i := slices.IndexFunc(items, func(item mirror.Item) bool { return item.Key == r.key() })
	if i < 0 {
		return mirror.HallReader{}, nil
	}
	return decodeReader(items[i]), nil
}

// Appoint makes this gateway the reader in place of another.
func (r readerRecord) Appoint(ctx context.Context, instead mirror.HallReader) (bool, error) {
	data, err := json.Marshal(readerEntry{Peer: r.Self()})
	if err != nil {
		return false, err
	}
	_, done, err := r.g.store.Swap(ctx, r.key(), data, instead.Revision)
	return done, err
}

// decodeReader returns the reader that an item names. One that cannot be decoded names nobody, and
// can be replaced.
func decodeReader(item mirror.Item) mirror.HallReader {
	var e readerEntry
	if err := json.Unmarshal(item.Value, &e); err != nil {
		slog.Error("invalid entry of the data hall's reader", "key", item.Key, "revision", item.Revision, "error", err)
	}
	return mirror.HallReader{Address: e.Peer, Revision: item.Revision}
}
