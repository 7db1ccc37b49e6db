package peer_test

import (
	"bytes"
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/share"
)

// TestDeltaEncoding lists what a peer knows of a large value that has changed, and how
// it is told of the change.
func TestDeltaEncoding(t *testing.T) {
	old, changed := declaration(4800), declaration(6200)
	earlier := mirror.Item{Key: "a", Value: old, Revision: 5}
	tests := []struct {
		name string
		// before is what the key held at the node that is asked.
		before  mirror.Item
		request peer.Request
		base    int64
		most    int
	}{
		{"knows the value before", earlier, peer.Request{After: 7, AcceptCompressed: true, AcceptDeltas: true}, 5, 40_000},
		{"knows it just so", earlier, peer.Request{After: 5, AcceptCompressed: true, AcceptDeltas: true}, 5, 40_000},
		{"knows an older one", earlier, peer.Request{After: 4, AcceptCompressed: true, AcceptDeltas: true}, 0, 150_000},
		{"reads no differences", earlier, peer.Request{After: 7, AcceptCompressed: true}, 0, 150_000},
		{"nothing was there before", mirror.Item{}, peer.Request{After: 7, AcceptCompressed: true, AcceptDeltas: true}, 0, 150_000},
		{"the node has gone on", mirror.Item{Key: "a", Value: changed, Revision: 9}, peer.Request{After: 7, AcceptCompressed: true, AcceptDeltas: true}, 0, 150_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			packing := peer.NewBatchEncoder(func(string) (mirror.Item, bool) { return tt.before, tt.before.Revision != 0 })
			b := mirror.Batch{Items: []mirror.Item{{Key: "a", Value: changed, Revision: 9}}, Revision: 9}
			for range 2 {
				reply, err := packing.Encode(b, tt.request)
				must.NoError(t, err)
				must.Eq(t, tt.base, reply.Items[0].BaseRevision)
				must.Less(t, tt.most, len(reply.Items[0].Value))
				back, err := peer.Decode(reply, func(string) (mirror.Item, bool) { return earlier, true })
				must.NoError(t, err)
				must.True(t, reflect.DeepEqual(b, back))
			}
		})
	}
}

// TestNoBase: a node whose copy is not the one that it asked from, since another peer
// has told it more meanwhile, asks for the value itself.
func TestUnknownBase(t *testing.T) {
	l := newLink(linkBytesPerSecond)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	g := &fakeGateway{}
	go func() { _ = peer.NewGatewayServer(g).Serve(ctx, l, nil) }()
	client := peer.NewClient(nil, peer.WithDialer(l.dial), peer.WithKnownValues(func(string) (mirror.Item, bool) {
		return mirror.Item{Key: "a", Value: declaration(99), Revision: 7}, true
	}))
	defer client.Close()
	batch, err := client.Follow(ctx, "peer", 5, 0)
	must.NoError(t, err)
	must.True(t, bytes.Equal(declaration(200), batch.Items[0].Value))

	reply, err := peer.NewBatchEncoder(g.Previous).Encode(g.Await(ctx, 5, 0), peer.Request{After: 5, AcceptDeltas: true})
	must.NoError(t, err)
	_, err = peer.Decode(reply, noValues)
	must.True(t, errorx.IsOfType(err, peer.UnknownBase))
}

// fakeGateway holds a declaration that has grown.
type fakeGateway struct{}

func (*fakeGateway) Await(context.Context, int64, time.Duration) mirror.Batch {
	return mirror.Batch{Items: []mirror.Item{{Key: "a", Value: declaration(200), Revision: 9}}, Revision: 9}
}

func (*fakeGateway) Previous(string) (mirror.Item, bool) {
	return mirror.Item{Key: "a", Value: declaration(100), Revision: 5}, true
}
func (*fakeGateway) Counts() (string, rollout.Counts)   { return "node", rollout.Counts{} }
func (*fakeGateway) Exchange(share.Message) share.Reply { return share.Reply{} }

// FuzzDifference: whatever a peer sends as a difference is read or refused.
func FuzzDifference(f *testing.F) {
	base := mirror.Item{Key: "a", Value: declaration(100), Revision: 5}
	known := func(string) (mirror.Item, bool) { return base, true }
	reply, err := peer.NewBatchEncoder(known).Encode(
		mirror.Batch{Items: []mirror.Item{{Key: "a", Value: declaration(200), Revision: 9}}}, peer.Request{After: 5, AcceptDeltas: true})
	if err != nil {
		f.Fatal(err)
	}
	fuzzValue(f, reply, known)
}
