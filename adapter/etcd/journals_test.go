package etcd_test

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/etcd"
	"github.com/violettally/violettally/internal/standin"
	"github.com/violettally/violettally/ledger"
)

// TestOddJournalHidesOthers checks that a journal which cannot be decoded hides no other, and is listed as such.
func TestOddJournalHidesOthers(t *testing.T) {
	server := httptest.NewServer(standin.NewKeyValue().Handler())
	defer server.Close()
	c := etcd.New([]string{server.URL}, "p/")
	for name, data := range map[string]string{"a": `{"journal":"a","totals":{"desk/m@v1":{"requests":3}}}`, "odd": `{"sequence":1e400}`, "z": `{"journal":"z","totals":{"desk/m@v1":{"requests":4}}}`} {
		_, _, err := c.Swap(t.Context(), ledger.Key(name), []byte(data), 0)
		must.NoError(t, err)
	}
	journals, err := c.Journals(t.Context())
	must.NoError(t, err)
	must.Len(t, 3, journals)
	must.Eq(t, 7, ledger.Total(journals)["desk/m@v1"].Requests)
	for _, j := range journals {
		must.Eq(t, j.Journal == "odd", j.Unreadable, must.Sprint(j.Journal))
	}
}
