// Package decoding decodes JSON from clients that the operators don't control. What it allocates is bounded by a small
// multiple of the text's length: a text that expands is rejected while it is read.
package decoding

import (
	"bytes"
	"io"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"
)

// maxDepth is the largest depth of arrays and objects in each other. The texts of the users' platform have at most 5.
const maxDepth = 16

// maxMessage is the maximum length of the message of an error in bytes. A decoder's message may quote the text.
const maxMessage = 200

// ErrRejected reports a text that is malformed, has a value of the wrong type, or exceeds the limits.
var ErrRejected = errors.New("the JSON text is rejected")

// Limits bound the number of values in a text. A text without limits may hold a value for every two bytes, each of
// which needs a hundred bytes or more once it is decoded.
type Limits struct {
	// Fields is the largest number of fields of an object, and Items the largest number of items of an array; 0 means no
	// limit.
	Fields, Items int
	// FreeItems is the number of array items that the text may hold whatever its length. Each further one needs ItemBytes
	// bytes of the text's length. There is no such limit if ItemBytes is 0.
	FreeItems, ItemBytes int
	// Text is the largest length of a name, string or number in bytes, as it is encoded and with the space before it; 0
	// means no limit.
	Text int
}

// Dense are the limits for texts of any structure. The text of a real configuration or registration has more than 16
// bytes for each item of its lists, except for some short labels.
var Dense = Limits{FreeItems: 64, ItemBytes: 16}

// options make the decoder accept what package encoding/json accepts, except that it stops at the first value of a
// wrong type. Package encoding/json goes on, and allocates an error for each of them.
var options = json.JoinOptions(jsonv1.DefaultOptionsV1(), jsonv1.ReportErrorsWithLegacySemantics(false))

// Unmarshal decodes a text into value, which must be a pointer. It returns ErrRejected if the text is malformed, has a
// value of the wrong type or exceeds the limits. Whether it exceeds the limits is known before anything is decoded.
func Unmarshal(text []byte, value any, limits Limits) error {
	if err := limits.check(text); err != nil {
		return err
	}
	if err := json.Unmarshal(text, value, options); err != nil {
		return rejected(err.Error())
	}
	return nil
}

// rejected returns ErrRejected with the beginning of a message. The decoder's messages say "cannot" or "unable to" at
// random, which differs between processes.
func rejected(message string) error {
	message = strings.Replace(message, "json: unable to ", "json: cannot ", 1)
	if len(message) > maxMessage {
		message = message[:maxMessage]
	}
	return errors.WithMessage(ErrRejected, message)
}

// scan is the state of a check: for each array or object that is open, the number of its tokens so far.
type scan struct {
	limits Limits
	open   [maxDepth]struct {
		object bool
		tokens int
	}
	depth int
	// items is the number of array items so far.
	items int
}

// check returns ErrRejected if a text is malformed or exceeds the limits. It allocates nothing for the values.
func (l Limits) check(text []byte) error {
	s := scan{limits: l}
	if l.ItemBytes > 0 {
		s.limits.FreeItems += len(text) / l.ItemBytes
	}
	decoder := jsontext.NewDecoder(bytes.NewBuffer(text), options)
	for {
		before := decoder.InputOffset()
		token, err := decoder.ReadToken()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return rejected(err.Error())
		}
		if err := s.add(token.Kind()); err != nil {
			return err
		}
		if l.Text > 0 && decoder.InputOffset()-before > int64(l.Text) {
			return rejected("a name, a string or a number is too long")
		}
	}
}

// add adds a token to the state.
func (s *scan) add(kind jsontext.Kind) error {
	if kind == '}' || kind == ']' {
		s.depth--
		return nil
	}
	if err := s.addValue(); err != nil {
		return err
	}
	if kind == '{' || kind == '[' {
		if s.depth == maxDepth {
			return rejected("its values are nested too deeply")
		}
		s.open[s.depth].object, s.open[s.depth].tokens = kind == '{', 0
		s.depth++
	}
	return nil
}

// addValue counts a name or a value in the array or object that is open.
func (s *scan) addValue() error {
	if s.depth == 0 {
		return nil
	}
	within := &s.open[s.depth-1]
	within.tokens++
	if within.object {
		// Each field has two tokens, its name and its value.
		if s.limits.Fields > 0 && within.tokens > 2*s.limits.Fields {
			return rejected("an object has too many fields")
		}
		return nil
	}
	s.items++
	switch {
	case s.limits.Items > 0 && within.tokens > s.limits.Items:
		return rejected("a list has too many items")
	case s.limits.ItemBytes > 0 && s.items > s.limits.FreeItems:
		return rejected("its lists have too many items for its length")
	}
	return nil
}
