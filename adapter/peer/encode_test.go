package peer_test

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/mirror"
)

// TestCompression encodes values for peers that accept compressed values and for
// those of earlier versions that do not. All must decode the same batch.
func TestCompression(t *testing.T) {
	large := declaration(1600)
	tests := []struct {
		name             string
		value            []byte
		acceptCompressed bool
		// maxBytes is the largest size of the reply.
		maxBytes int
	}{
		{"large", large, true, len(large) / 2},
		{"large, to a peer of an earlier version", large, false, len(large) + 200},
		{"small", []byte("small"), true, 200},
		{"empty", nil, true, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			encoder := peer.NewBatchEncoder(noValues)
			for revision := range int64(2) {
				b := mirror.Batch{
					Items: []mirror.Item{
						{Key: "a", Value: append(bytes.Clone(tt.value), byte('0'+revision)), Revision: revision + 1},
						{Key: "b", Revision: 1, Deleted: true},
						{Key: "c", Revision: 1, Lease: 7},
					},
					Revision: revision + 1, Snapshot: true, Age: time.Second,
				}
				for range 2 {
					reply, err := encoder.Encode(b, peer.Request{AcceptCompressed: tt.acceptCompressed})
					must.NoError(t, err)
					data, err := peer.Codec.Marshal(&reply)
					must.NoError(t, err)
					t.Logf("%d bytes for %d", len(data), len(tt.value))
					must.LessEq(t, tt.maxBytes, len(data))
					var got peer.Reply
					must.NoError(t, peer.Codec.Unmarshal(data, &got))
					decoded, err := peer.Decode(got, noValues)
					must.NoError(t, err)
					must.True(t, reflect.DeepEqual(b, decoded))
					if !tt.acceptCompressed {
						var earlier mirror.Batch
						must.NoError(t, peer.Codec.Unmarshal(data, &earlier))
						must.True(t, reflect.DeepEqual(b, earlier))
					}
				}
			}
		})
	}
}

// noValues is the lookup of a node that has no values.
func noValues(string) (mirror.Item, bool) { return mirror.Item{}, false }

// FuzzPacked checks that any compressed value from a peer is decoded or rejected.
func FuzzPacked(f *testing.F) {
	reply, err := peer.NewBatchEncoder(noValues).Encode(mirror.Batch{Items: []mirror.Item{{Key: "a", Value: declaration(100)}}}, peer.Request{AcceptCompressed: true})
	if err != nil {
		f.Fatal(err)
	}
	fuzzValue(f, reply, noValues)
}

// fuzzValue decodes a reply with arbitrary bytes as the value of its only item.
func fuzzValue(f *testing.F, reply peer.Reply, known func(key string) (mirror.Item, bool)) {
	f.Add(reply.Items[0].Value)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		reply.Items[0].Value = data
		if b, err := peer.Decode(reply, known); err == nil {
			must.Len(t, 1, b.Items)
		}
	})
}
