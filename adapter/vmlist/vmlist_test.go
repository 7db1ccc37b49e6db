package vmlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/vmlist"
	"github.com/violettally/violettally/timer"
)

// oddEntries are entries of another writer. Some tell the VM's name.
var oddEntries = map[string]struct {
	entry string
	named bool
}{
	"a number as the name":    {`{"name":5}`, false},
	"a number as the peer":    {`{"name":"odd","peer":5}`, true},
	"a text":                  {`"odd"`, false},
	"too large a number":      {`{"name":"odd","state":1e999}`, true},
	"deeply nested":           {`{"name":"odd","x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`, false},
	"a port out of range":     {`{"name":"odd","state":"live","peer":"127.0.0.1:99999"}`, true},
	"port zero":               {`{"name":"odd","state":"live","peer":"127.0.0.1:0"}`, true},
	"null":                    {`null`, false},
	"empty":                   {`{}`, false},
	"two entries of a VM":     {`{"name":"r2","peer":7}`, true},
	"an entry before a good":  {`{"name":"r1","state":7}`, true},
	"a name that is no UTF-8": {"{\"name\":\"\xff\",\"peer\":1}", true},
}

// TestOddEntryHidesList checks that an odd entry of the list, wherever it stands, hides no other one, that no VM counts as
// gone because of it, and that its address is not used.
func TestOddEntryHidesList(t *testing.T) {
	for name, odd := range oddEntries {
		for _, first := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				body := ""
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
				defer server.Close()
				timers := timer.New()
				defer timers.Close()
				list := vmlist.New(server.URL, timers, time.Hour)
				set := func(entries ...string) {
					if first {
						entries = append([]string{odd.entry}, entries...)
					} else {
						entries = append(entries, odd.entry)
					}
					body = `{"vms":[` + strings.Join(entries, ",") + `]}`
					must.NoError(t, list.Read(context.Background()))
				}
				const r1, r2 = `{"name":"r1","state":"live","peer":"127.0.0.1:8001"}`, `{"name":"r2","state":"live","peer":"127.0.0.1:8002"}`
				set(r1, r2)
				must.Eq(t, map[string]bool{"127.0.0.1:8001": true, "127.0.0.1:8002": true}, setOf(list.PeerAddresses()))
				set(strings.Replace(r1, "live", "leaving", 1), r2)
				must.True(t, list.Leaving("r1"))
				must.False(t, list.Leaving("r2"))
				listed, ok := list.Listed("r1")
				must.True(t, listed && ok)
				listed, ok = list.Listed("unknown")
				must.False(t, listed)
				must.Eq(t, odd.named, ok, must.Sprint("an entry without a name may be anyone's"))
			})
		}
	}
}

// TestOddEntryInPlaceOfGood checks that what was known of a VM holds while its entry cannot be used.
func TestOddEntryInPlaceOfGood(t *testing.T) {
	entries := []string{`{"name":"r1","state":"leaving","peer":"127.0.0.1:8001"}`, `{"name":"r1","state":5}`}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"vms":[` + entries[0] + `]}`))
	}))
	defer server.Close()
	timers := timer.New()
	defer timers.Close()
	list := vmlist.New(server.URL, timers, time.Hour)
	for range 2 {
		must.NoError(t, list.Read(context.Background()))
		must.True(t, list.Leaving("r1"))
		must.Eq(t, []string{"127.0.0.1:8001"}, list.PeerAddresses())
		entries = entries[1:]
	}
}

func setOf(texts []string) map[string]bool {
	set := make(map[string]bool)
	for _, text := range texts {
		set[text] = true
	}
	return set
}
