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

// TestCompression lists values and who asks for them: whoever it is gets them whole, and
// only one that reads packed values gets any.
func TestCompression(t *testing.T) {
	large := declaration(1600)
	tests := []struct {
		name   string
		value  []byte
		packed bool
		// most bytes that the answer may take.
		most int
	}{
		{"large", large, true, len(large) / 2},
		{"large, to an earlier version", large, false, len(large) + 200},
		{"small", []byte("small"), true, 200},
		{"empty", nil, true, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			packing := peer.NewBatchEncoder(noValues)
			for revision := range int64(2) {
				b := mirror.Batch{
					Items: []mirror.Item{
						{Key: "a", Value: append(bytes.Clone(tt.value), byte('0'+revision)), Revision: revision + 1},
						{Key: "b", Revision: 1, Deleted: true},
						{Key: "c", Revision: 1, Lease: 7},
					},
					Revision: revision + 1, Whole: true, Age: time.Second,
				}
				for range 2 {
					reply, err := packing.Encode(b, peer.Request{AcceptCompressed: tt.packed})
					must.NoError(t, err)
					data, err := peer.Codec.Marshal(&reply)
					must.NoError(t, err)
					t.Logf("%d bytes for %d", len(data), len(tt.value))
					must.LessEq(t, tt.most, len(data))
					var got peer.Reply
					must.NoError(t, peer.Codec.Unmarshal(data, &got))
					back, err := peer.Decode(got, noValues)
					must.NoError(t, err)
					must.True(t, reflect.DeepEqual(b, back))
					if !tt.packed {
						var earlier mirror.Batch
						must.NoError(t, peer.Codec.Unmarshal(data, &earlier))
						must.True(t, reflect.DeepEqual(b, earlier))
					}
				}
			}
		})
	}
}

// noValues is known.
func noValues(string) (mirror.Item, bool) { return mirror.Item{}, false }

// FuzzPacked: whatever a peer sends is read or refused.
func FuzzPacked(f *testing.F) {
	reply, err := peer.NewBatchEncoder(noValues).Encode(mirror.Batch{Items: []mirror.Item{{Key: "a", Value: declaration(100)}}}, peer.Request{AcceptCompressed: true})
	if err != nil {
		f.Fatal(err)
	}
	fuzzValue(f, reply, noValues)
}

// fuzzValue lets a peer send anything as the value of a reply's only item.
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
