package notice_test

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/notice"
)

var headers = notice.Headers{RequestLimit: "Limit", RejectionLimit: "Rejections", Leaving: "Leaving"}

// decode returns the value of a kind of notice in an answer.
func decode(status int, h http.Header, kind notice.Kind) (value float64, ok bool) {
	for _, n := range headers.Decode(&http.Response{StatusCode: status, Header: h}) {
		if n.Kind == kind {
			return n.Value, true
		}
	}
	return 0, false
}

func TestDecodeLimit(t *testing.T) {
	tests := []struct {
		values    []string
		perSecond float64
		ok        bool
	}{
		{nil, notice.Unlimited, true},
		{[]string{"2"}, 2, true},
		{[]string{" 2.4 "}, 2.4, true},
		{[]string{"0"}, 0, true},
		{[]string{"1e3"}, 1000, true},
		{[]string{"Inf"}, notice.Unlimited, true},
		{[]string{"3", "5"}, 3, true},
		{[]string{""}, 0, false},
		{[]string{"-1"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"1e999"}, 0, false},
		{[]string{"2/s"}, 0, false},
	}
	for header, kind := range map[string]notice.Kind{"Limit": notice.KindRequestLimit, "Rejections": notice.KindRejectionLimit} {
		for _, tt := range tests {
			perSecond, ok := decode(200, http.Header{header: tt.values}, kind)
			must.Eq(t, tt.ok, ok, must.Sprintf("%q", tt.values))
			if ok {
				must.Eq(t, tt.perSecond, perSecond, must.Sprintf("%q", tt.values))
			}
		}
	}
}

func TestDecodeLeaving(t *testing.T) {
	for _, tt := range []struct {
		values []string
		leaves bool
	}{
		{nil, false}, {[]string{"1"}, true}, {[]string{" 1 "}, true}, {[]string{"true"}, true}, {[]string{"0", "1"}, true},
		{[]string{"0"}, false}, {[]string{""}, false}, {[]string{"soon"}, false},
	} {
		for _, status := range []int{200, 206, 429, 500, 503} {
			value, ok := decode(status, http.Header{"Leaving": tt.values}, notice.KindLeaving)
			must.True(t, ok)
			must.Eq(t, tt.leaves, value == 1, must.Sprintf("%d %q", status, tt.values))
		}
		_, ok := decode(http.StatusMisdirectedRequest, http.Header{"Leaving": tt.values}, notice.KindLeaving)
		must.Eq(t, tt.leaves, ok, must.Sprintf("421 %q", tt.values))
	}
}

func TestDecodeRest(t *testing.T) {
	const date, later, earlier = "Fri, 04 Dec 2026 01:50:00 GMT", "Fri, 04 Dec 2026 01:50:07 GMT", "Fri, 04 Dec 2026 01:49:00 GMT"
	tests := []struct {
		name    string
		values  []string
		seconds float64
	}{
		{"none", nil, 0},
		{"whole", []string{"3"}, 3},
		{"fraction", []string{" 0.25 "}, 0.25},
		{"zero", []string{"0"}, 0},
		{"negative", []string{"-3"}, 0},
		{"huge", []string{"1e300"}, 365 * 24 * 3600},
		{"infinite", []string{"Inf"}, 365 * 24 * 3600},
		{"no number", []string{"NaN"}, 0},
		{"a word", []string{"soon"}, 0},
		{"empty", []string{""}, 0},
		{"a date, by the clock of the server", []string{later}, 7},
		{"a date that is over", []string{earlier}, 0},
		{"several lines", []string{"2", "5", "1"}, 5},
		{"several in a line", []string{"2, 5"}, 5},
		{"a date and a number", []string{"2", later}, 7},
		{"one that cannot be read among others", []string{"soon", "2"}, 2},
	}
	for _, tt := range tests {
		h := http.Header{"Retry-After": tt.values, "Date": {date}}
		value, ok := decode(http.StatusServiceUnavailable, h, notice.KindRest)
		must.True(t, ok, must.Sprint(tt.name))
		must.Eq(t, tt.seconds, value, must.Sprint(tt.name))
		for _, status := range []int{200, 429, 500} {
			value, ok := decode(status, h, notice.KindRest)
			must.True(t, ok && value == 0, must.Sprint(tt.name, status))
		}
		_, ok = decode(http.StatusMisdirectedRequest, h, notice.KindRest)
		must.False(t, ok, must.Sprint(tt.name))
	}
}

// TestRestWithoutServerClock checks that a date is compared with this node's clock if the server
// doesn't tell its own.
func TestRestWithoutServerClock(t *testing.T) {
	until := time.Now().Add(time.Hour).UTC().Format(http.TimeFormat)
	value, _ := decode(http.StatusServiceUnavailable, http.Header{"Retry-After": {until}}, notice.KindRest)
	must.InDelta(t, 3600, value, 60)
}

// FuzzParseRest checks that no header makes a rest negative or longer than a year.
func FuzzParseRest(f *testing.F) {
	f.Add("3", "Fri, 04 Dec 2026 01:50:00 GMT")
	f.Add("1e400,-5", "")
	f.Fuzz(func(t *testing.T, first, second string) {
		rest := notice.ParseRest([]string{first, second}, time.Unix(math.MaxInt32, 0))
		must.Between(t, 0, rest, 365*24*time.Hour)
	})
}
