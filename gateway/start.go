package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// noticeSources is how many other gateways are asked at the start what servers say of themselves: one of
	// them may have just started as well.
	noticeSources = 2
	// noticeTimeout bounds these calls. Requests wait for them.
	noticeTimeout = 100 * time.Millisecond
)

// start reads what a gateway has to know before it sends requests, and then closes started.
func (g *Gateway) start(ctx context.Context) {
	select {
	case <-g.mirror.Synced():
	case <-ctx.Done():
		return
	}
	g.learnNotices(ctx)
	close(g.started)
}

// learnNotices asks other gateways what servers say of themselves.
func (g *Gateway) learnNotices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	addresses := mirrorPeers{g}.Addresses()
	var asking sync.WaitGroup
	for _, address := range addresses[:min(noticeSources, len(addresses))] {
		asking.Go(func() {
			began := g.timers.Steady()
			known, err := g.peerClient.KnownNotices(ctx, address)
			if err != nil {
				slog.Info("what servers say of themselves not learned", "peer", address, "error", err.Error())
				return
			}
			g.notices.Learn(known, g.timers.Steady().Sub(began))
			slog.Info("what servers say of themselves learned", "peer", address, "notices", len(known))
		})
	}
	asking.Wait()
}
