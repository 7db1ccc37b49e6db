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

// TestDeltaEncoding checks whether a changed large value is sent as a delta, by what
// the peer and the sender have of it.
func TestDeltaEncoding(t *testing.T) {
	old, changed := declaration(4800), declaration(6200)
	earlier := mirror.Item{Key: "a", Value: old, Revision: 5}
	tests := []struct {
		name string
		// previous is the key's value before its last change, at the sender.
		previous mirror.Item
		request  peer.Request
		base     int64
		maxBytes int
	}{
		{"has the previous value", earlier, peer.Request{After: 7, AcceptCompressed: true, AcceptDeltas: true}, 5, 40_000},
		{"has the previous value, at the same revision", earlier, peer.Request{After: 5, AcceptCompressed: true, AcceptDeltas: true}, 5, 40_000},
		{"has an older value", earlier, peer.Request{After: 4, AcceptCompressed: true, AcceptDeltas: true}, 0, 150_000},
		{"accepts no deltas", earlier, peer.Request{After: 7, AcceptCompressed: true}, 0, 150_000},
		{"no previous value", mirror.Item{}, peer.Request{After: 7, AcceptCompressed: true, AcceptDeltas: true}, 0, 150_000},
		{"sender's copy has changed again", mirror.Item{Key: "a", Value: changed, Revision: 9}, peer.Request{After: 7, AcceptCompressed: true, AcceptDeltas: true}, 0, 150_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			encoder := peer.NewBatchEncoder(func(string) (mirror.Item, bool) { return tt.previous, tt.previous.Revision != 0 })
			b := mirror.Batch{Items: []mirror.Item{{Key: "a", Value: changed, Revision: 9}}, Revision: 9}
			for range 2 {
				reply, err := encoder.Encode(b, tt.request)
				must.NoError(t, err)
				must.Eq(t, tt.base, reply.Items[0].BaseRevision)
				must.Less(t, tt.maxBytes, len(reply.Items[0].Value))
				decoded, err := peer.Decode(reply, func(string) (mirror.Item, bool) { return earlier, true })
				must.NoError(t, err)
				must.True(t, reflect.DeepEqual(b, decoded))
			}
		})
	}
}

// TestUnknownBase checks that a node asks for the whole value if it does not have the
// base of a delta, because another peer updated its copy in the meantime.
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

	b, _ := g.Respond(ctx, "", 5, 0)
	reply, err := peer.NewBatchEncoder(g.Previous).Encode(b, peer.Request{After: 5, AcceptDeltas: true})
	must.NoError(t, err)
	_, err = peer.Decode(reply, noValues)
	must.True(t, errorx.IsOfType(err, peer.UnknownBase))
}

// fakeGateway is a gateway with a declaration that has grown.
type fakeGateway struct{ noCarrier }

func (*fakeGateway) Respond(context.Context, string, int64, time.Duration) (mirror.Batch, func(error)) {
	return mirror.Batch{Items: []mirror.Item{{Key: "a", Value: declaration(200), Revision: 9}}, Revision: 9}, func(error) {}
}

func (*fakeGateway) Previous(string) (mirror.Item, bool) {
	return mirror.Item{Key: "a", Value: declaration(100), Revision: 5}, true
}
func (*fakeGateway) Counts() (string, rollout.Counts)   { return "node", rollout.Counts{} }
func (*fakeGateway) Exchange(share.Message) share.Reply { return share.Reply{} }
func (*fakeGateway) Activity(int64) peer.Activity       { return peer.Activity{} }

// FuzzDifference checks that any delta from a peer is decoded or rejected.
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
