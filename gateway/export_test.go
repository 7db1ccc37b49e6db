package gateway

import (
	"context"

	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// KeepEntry keeps a gateway's entry at a store until the context ends.
func KeepEntry(ctx context.Context, store entryStore, timers *timer.Service) {
	g := &Gateway{timers: timers, self: view.NewMember(view.Member{VM: "node"})}
	n := newNodes(g)
	n.store = store
	n.run(ctx)
}
