package decoding_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstack/io/decoding"
)

// record has a field of each kind that callers, workers and other VMs send.
type record struct {
	Name   string
	Count  int
	Number float64
	Flag   bool
	List   []int           `json:"list"`
	Nested []record        `json:"nested"`
	Raw    json.RawMessage `json:"raw"`
	Option *int            `json:"option"`
}

// TestLimits checks texts on both sides of each limit.
func TestLimits(t *testing.T) {
	limits := decoding.Limits{Fields: 3, Items: 4, FreeItems: 5, ItemBytes: 10, Text: 20}
	for _, test := range []struct {
		text  string
		valid bool
	}{
		{`{"a":1,"b":2,"c":3}`, true},
		{`{"a":1,"b":2,"c":3,"d":4}`, false},
		{`{"list":[1,2,3,4]}`, true},
		{`{"list":[1,2,3,4,5]}`, false},
		{`{"list":[1,2,3],"x":[1,2,3]}`, true},
		{`{"list":[1,2,3,4],"x":[1,2],"y":[1,2,3,4]}`, false},
		{`{"name":"` + strings.Repeat("n", 17) + `"}`, true},
		{`{"name":"` + strings.Repeat("n", 18) + `"}`, false},
		{strings.Repeat(`{"x":`, 15) + `{}` + strings.Repeat(`}`, 15), true},
		{strings.Repeat(`{"x":`, 16) + `{}` + strings.Repeat(`}`, 16), false},
		{`{"name":1}`, false},
		{`{"count":1.5}`, false},
		{`{} {}`, false},
		{`{`, false},
		{``, false},
	} {
		var value record
		err := decoding.Unmarshal([]byte(test.text), &value, limits)
		if test.valid {
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s", test.text))
		} else {
			qt.Check(t, err, qt.ErrorIs, decoding.ErrRejected, qt.Commentf("%s", test.text))
		}
	}
}

// FuzzSameAsEncodingJSON checks that a text which is accepted has the value that package encoding/json decodes. It guards
// against callers whose jobs are read otherwise than before this package.
func FuzzSameAsEncodingJSON(f *testing.F) {
	for _, text := range []string{
		`{"name":"a","NAME":"b","Count":3,"number":1e3,"flag":true,"list":[1,2],"nested":[{"name":"\u00e9\ud83d\ude00"}]}`,
		`{"raw":[1,{"a":null}],"option":7,"list":null,"name":null}`, `{"list":[1,2,3],"list":[4]}`, `null`, `[]`,
		`{"nested":[{"name":"a","count":1}],"nested":[{"count":2}]}`, "{\"name\":\"\xff\"}", `{"number":1e999}`, ` {} `,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var got, want record
		if decoding.Unmarshal(text, &got, decoding.Dense) != nil {
			return
		}
		qt.Assert(t, json.Unmarshal(text, &want), qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, want)
	})
}
