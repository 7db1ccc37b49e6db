package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
)

// TestFaults checks that every fault of an invalid file is reported with its
// position.
func TestFaults(t *testing.T) {
	digest := config.Digest("k")
	tests := []struct {
		name   string
		source string
		want   []string
	}{
		{"not JSON", "{\n  accounts", []string{`f.json:2:3: invalid literal: accounts`}},
		{"truncated", `{"accounts": [`, []string{`f.json:1:15: parsing value: unexpected EOF`}},
		{"wrong type", `{"accounts": 3}`, []string{`f.json:1:14: /accounts: want an array, found a number`}},
		{"several faults", `{
 "accounts": [
  {"name": "Desk", "keys": ["secret"], "models": ["brief@v9", "none"], "services": ["s"], "prio": 1}
 ],
 "models": [{"name": "brief", "versions": [{"name": "v1", "state": "gone", "pool": "p"}]}]
}`, []string{
			`f.json:3:91: /accounts/0/prio: unknown field "prio"`,
			`f.json:5:68: /models/0/versions/0/state: unknown value "gone"`,
		}},
		{"references", `{
 "accounts": [{"name": "desk", "keys": ["` + digest + `"], "models": ["brief@v9", "none"], "services": ["s"]}],
 "operators": [{"name": "ops", "keys": ["` + digest + `"]}],
 "models": [{"name": "brief", "versions": [{"name": "v1", "pool": "p"}]}],
 "cascades": [{"name": "brief", "models": ["brief"], "min_rating": 2}]
}`, []string{
			`f.json:5:24: /cascades/0/name: name "brief" stands twice among the models and cascades`,
			`/operators/0/keys/0: the key belongs to account desk already`,
			`/accounts/0/models/0: model "brief" has no version "v9"`,
			`/accounts/0/models/1: no model or cascade "none" is declared`,
			`/accounts/0/services/0: no service "s" is declared`,
			`/models/0/versions/0/pool: no pool "p" is declared`,
			`/cascades/0/models: a cascade needs two models or more`,
			`/cascades/0/min_rating: want a number from 0 to 1, found 2`,
		}},
		{"rollouts", `{
 "pools": [{"name": "p", "servers": [{"name": "s", "url": "ftp://x", "slots": 0}]}],
 "models": [{"name": "m", "rollout": {"version": "v2", "stages": [{"share": 0.5}, {"share": 0.2}]},
  "versions": [{"name": "v1", "pool": "p"}, {"name": "v2", "pool": "p"}, {"name": "v3", "state": "rolling_out", "pool": "p"}]}]
}`, []string{
			`/models/0/versions/2/state: version "v3" is rolling out, but no rollout names it`,
			`/models/0/versions: model "m" has 2 versions in service; one at most`,
			`/models/0/rollout/version: version "v2" is in_service; only a version that is rolling_out can have a rollout`,
			`/models/0/rollout/stages/1/share: want a share above 0.5 and at most 1`,
			`/pools/0/servers/0/url: want an http or https URL, found "ftp://x"`,
			`/pools/0/servers/0/slots: want 1 or more`,
		}},
		{"evacuated halls", `{"pools": [{"name": "p", "servers": [{"name": "s", "url": "http://x", "data_hall": "north", "slots": 1}]}],
 "evacuated_halls": ["north", "nroth", ""]}`, []string{
			`f.json:2:31: /evacuated_halls/1: no server is declared in data hall "nroth"`,
			`f.json:2:40: /evacuated_halls/2: no server is declared in data hall ""`,
		}},
		{"evacuated halls, not a list", `{"evacuated_halls": "north"}`, []string{`f.json:1:21: /evacuated_halls: want an array, found a string`}},
		{"duplicate field", `{"pools": [], "pools": []}`, []string{`f.json:1:15: /pools: field "pools" stands twice`}},
		{"services", `{"pools": [{"name": "p"}], "services": [{"name": "s", "pool": "p", "calls": [{"method": "post", "path": "x"}]}]}`, []string{
			`/services/0/calls/0/method: want an HTTP method in capitals, found "post"`,
			`/services/0/calls/0/path: want a path that starts with a slash, found "x"`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, faults := config.Parse("f.json", []byte(tt.source))
			must.Nil(t, c)
			var all strings.Builder
			for _, f := range faults {
				fmt.Fprintln(&all, f)
			}
			for _, want := range tt.want {
				must.StrContains(t, all.String(), want)
			}
			must.Len(t, len(tt.want), faults, must.Sprint(all.String()))
		})
	}
}

// TestExamples checks that the example declarations are valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../example/*.json")
	must.NoError(t, err)
	must.Len(t, 3, files)
	for _, file := range files {
		data, err := os.ReadFile(file)
		must.NoError(t, err)
		_, faults := config.Parse(file, data)
		must.SliceEmpty(t, faults)
	}
}

func TestDiff(t *testing.T) {
	tests := []struct {
		before, after string
		want          []string
	}{
		{`{"a": 1}`, `{"a": 1 /* a comment */}`, nil},
		{`{"a": 1, "b": [1, {"c": 2}]}`, `{"a": 2, "b": [1, {"c": 3}]}`, []string{"/a", "/b/1/c"}},
		{`{"a": [1]}`, `{"a": [1, 2], "x/y": 0}`, []string{"/a", "/x~1y"}},
	}
	for _, tt := range tests {
		must.Eq(t, tt.want, config.Diff(tt.before, tt.after))
	}
}

func ExampleParse() {
	_, faults := config.Parse("desk.json", []byte(`{
  "accounts": [{"name": "desk", "modles": ["brief"]}]
}`))
	for _, f := range faults {
		fmt.Println(f)
	}
	// Output: desk.json:2:33: /accounts/0/modles: unknown field "modles"
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"accounts": [{"name": "a"}], "models": null}`))
	f.Add([]byte(`{"models": [{"name": "m", "rollout": {"version": "x", "stages": []}, "versions": []}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, faults := config.Parse("fuzz.json", data)
		if (c == nil) == (len(faults) == 0) {
			t.Fatalf("want either a configuration or faults, got %v and %v", c, faults)
		}
	})
}
