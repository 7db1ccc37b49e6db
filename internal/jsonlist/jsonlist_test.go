package jsonlist_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/jsonlist"
)

func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	tests := []struct {
		name, data string
		want       []string
	}{
		{"empty", `{"vms":[]}`, nil},
		{"objects", ` { "vms" : [ {"a":1} , {"b":[2,{}]} ] } `, []string{`{"a":1}`, `{"b":[2,{}]}`}},
		{"other fields first", `{"a":{"vms":[1]},"b":[1,2],"c":"vms","vms":[3]}`, []string{`3`}},
		{"strings with brackets", `{"vms":["]}","\"]","\\"]}`, []string{`"]}"`, `"\"]"`, `"\\"`}},
		{"escaped field", `{"\u0076ms":[1]}`, []string{`1`}},
		{"numbers", `{"vms":[1e999,-1,null,true]}`, []string{`1e999`, `-1`, `null`, `true`}},
		{"deeply nested", `{"vms":[` + deep + `,2]}`, []string{deep, `2`}},
		{"more documents", `{"vms":[1]}{"vms":[2]}`, []string{`1`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			elements, err := jsonlist.Elements([]byte(tt.data), "vms")
			must.NoError(t, err)
			var got []string
			for _, e := range elements {
				got = append(got, string(e))
			}
			must.Eq(t, tt.want, got)
		})
	}
	for _, data := range []string{``, `7`, `[]`, `{`, `{}`, `{"vms":7}`, `{"vms":{}}`, `{"vms":[`, `{"vms":[1`, `{"vms":["`, `{"vms":["\`, `{"vms":[}`, `{"vms"}`, `{"a":1`, `{7:[]}`, `{"vms":[{]`} {
		_, err := jsonlist.Elements([]byte(data), "vms")
		must.Error(t, err, must.Sprint(data))
	}
}

// FuzzElements checks that a valid list is split as encoding/json does.
func FuzzElements(f *testing.F) {
	f.Add(`{"vms":[1,"a",{"b":[]}]}`)
	f.Add(`{"vms":[{"name":"\u0076","peer":""}]}`)
	f.Add(`{"vms":[`)
	f.Fuzz(func(t *testing.T, data string) {
		got, err := jsonlist.Elements([]byte(data), "vms")
		var want map[string]json.RawMessage
		var list []json.RawMessage
		if json.Unmarshal([]byte(data), &want) != nil || len(want) != 1 || json.Unmarshal(want["vms"], &list) != nil || list == nil {
			return
		}
		if strings.Count(data, "vms") != 1 { // encoding/json takes the last one
			return
		}
		must.NoError(t, err)
		must.Eq(t, len(list), len(got))
		for i := range list {
			must.Eq(t, string(list[i]), string(got[i]))
		}
	})
}
