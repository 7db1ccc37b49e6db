package config_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
)

// TestEvacuatedHalls checks that servers in evacuated data halls are not in use, while their
// pool stays declared.
func TestEvacuatedHalls(t *testing.T) {
	const pools = `"pools": [
		{"name": "p", "servers": [
			{"name": "a", "url": "http://a", "data_hall": "north", "slots": 1},
			{"name": "b", "url": "http://b", "data_hall": "south", "slots": 1}]},
		{"name": "q", "servers": [{"name": "c", "url": "http://c", "data_hall": "north", "slots": 1}]}]`
	tests := []struct {
		name, evacuated string
		p, q            []string
	}{
		{"none", `[]`, []string{"a", "b"}, []string{"c"}},
		{"one hall", `["north"]`, []string{"b"}, nil},
		{"all halls", `["north", "south"]`, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, faults := config.NewSnapshot(config.Document{File: "f.json", Source: `{` + pools + `, "evacuated_halls": ` + tt.evacuated + `}`})
			must.SliceEmpty(t, faults)
			for pool, want := range map[string][]string{"p": tt.p, "q": tt.q, "undeclared": nil} {
				var names []string
				for _, server := range s.Servers(pool) {
					names = append(names, server.Name)
				}
				must.Eq(t, want, names, must.Sprint(pool))
			}
			must.NotNil(t, s.Pool("q"))
		})
	}
}
