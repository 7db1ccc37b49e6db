package catalog_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
)

func testDocument(routes ...catalog.Route) catalog.Document {
	return catalog.Document{
		Version:  3,
		Routes:   routes,
		Services: []catalog.Service{{Name: "s"}},
		Accounts: []catalog.Account{{Name: "desk", Keys: []string{"k1", "k2"}}},
	}
}

func testRoute(name, host, prefix string) catalog.Route {
	return catalog.Route{Name: name, Host: host, Prefix: prefix, Targets: []catalog.Target{{Service: "s", Weight: 1}}}
}

func TestMatch(t *testing.T) {
	c, err := catalog.New(testDocument(
		testRoute("short", "a.example", "/a/"), testRoute("long", "a.example", "/a/b/"), testRoute("other", "B.example", "/a/"),
	))
	must.NoError(t, err)
	tests := []struct{ host, path, want string }{
		{"a.example", "/a/x", "short"},
		{"a.example", "/a/b/x", "long"},
		{"a.example", "/a/b", "short"},
		{"a.example", "/a", ""},
		{"a.example", "/ab/", ""},
		{"A.Example:8080", "/a/b/", "long"},
		{"b.example", "/a/b/", "other"},
		{"c.example", "/a/", ""},
		{"", "/a/", ""},
	}
	for _, tt := range tests {
		r, ok := c.Match(tt.host, tt.path)
		must.Eq(t, tt.want != "", ok, must.Sprintf("%s%s", tt.host, tt.path))
		if ok {
			must.Eq(t, tt.want, r.Name)
		}
	}
}

func TestAccounts(t *testing.T) {
	c, err := catalog.New(testDocument())
	must.NoError(t, err)
	a, ok := c.Account("k2")
	must.True(t, ok)
	must.Eq(t, "desk", a.Name)
	_, ok = c.Account("")
	must.False(t, ok)
	must.False(t, catalog.Empty().HasAccounts())
}

// TestInvalid checks that documents with an invalid route or no version are
// rejected.
func TestInvalid(t *testing.T) {
	withoutTarget, unknownService := testRoute("r", "a", "/"), testRoute("r", "a", "/")
	withoutTarget.Targets = nil
	unknownService.Targets = []catalog.Target{{Service: "nowhere"}}
	for name, route := range map[string]catalog.Route{
		"no leading slash": testRoute("r", "a", "a/"), "no trailing slash": testRoute("r", "a", "/a"), "no target": withoutTarget, "unknown service": unknownService,
	} {
		_, err := catalog.New(testDocument(route))
		must.True(t, errorx.IsOfType(err, catalog.Invalid), must.Sprint(name))
	}
	_, err := catalog.New(catalog.Document{})
	must.True(t, errorx.IsOfType(err, catalog.Invalid))
}

func TestRepeatable(t *testing.T) {
	tests := []struct {
		kind      catalog.Kind
		resumable bool
		want      bool
	}{
		{catalog.KindOnce, false, false},
		{catalog.KindOnce, true, false},
		{catalog.KindRepeatable, false, true},
		{catalog.KindStream, false, false},
		{catalog.KindStream, true, true},
	}
	for _, tt := range tests {
		r := catalog.Route{Kind: tt.kind, Resumable: tt.resumable}
		must.Eq(t, tt.want, r.Repeatable(), must.Sprintf("%v", tt))
	}
}
