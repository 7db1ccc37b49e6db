// Package jsonlist splits JSON lists into their elements without decoding these, so that one that cannot be decoded
// does not hide the others.
//
// encoding/json rejects a document as a whole if an element is of another type than expected, has a number that is too
// large, or is nested too deeply.
//
// # Usage
//
//	elements, err := jsonlist.Elements(data, "vms") // of {"vms": [...]}
//	for _, element := range elements {
//		if err := json.Unmarshal(element, &v); err != nil { … }
//	}
package jsonlist

import (
	"encoding/json"

	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("jsonlist")

	// Malformed says that data is no object with a list in the given field.
	Malformed = namespace.NewType("malformed")
)

// Elements returns the elements of the list in a field of an object. They may be malformed themselves.
func Elements(data []byte, field string) ([]json.RawMessage, error) {
	s := &scanner{data: data}
	if !s.accept('{') {
		return nil, s.malformed("no object")
	}
	for !s.accept('}') {
		name, ok := s.value()
		if !ok || !s.accept(':') {
			return nil, s.malformed("no field")
		}
		var text string
		if err := json.Unmarshal(name, &text); err != nil {
			return nil, s.malformed("no field")
		}
		if text == field {
			return s.list()
		}
		if _, ok := s.value(); !ok {
			return nil, s.malformed("no value")
		}
		s.accept(',')
	}
	return nil, s.malformed("the list is missing")
}

// scanner finds the ends of JSON values.
type scanner struct {
	data []byte
	at   int
}

func (s *scanner) malformed(what string) error {
	return errs.New(Malformed, "split", "%s at byte %d of %d", what, s.at, len(s.data))
}

// list returns the elements of a list.
func (s *scanner) list() ([]json.RawMessage, error) {
	if !s.accept('[') {
		return nil, s.malformed("no list")
	}
	var elements []json.RawMessage
	for !s.accept(']') {
		element, ok := s.value()
		if !ok {
			return nil, s.malformed("no element")
		}
		elements = append(elements, element)
		s.accept(',')
	}
	return elements, nil
}

// accept skips white space and, if it comes next, the given character.
func (s *scanner) accept(c byte) bool {
	for s.at < len(s.data) && isSpace(s.data[s.at]) {
		s.at++
	}
	if s.at == len(s.data) || s.data[s.at] != c {
		return false
	}
	s.at++
	return true
}

// value skips a value and returns its text. It returns false if none comes next, or if it does not end.
func (s *scanner) value() (json.RawMessage, bool) {
	s.accept(0) // skips white space
	start, depth := s.at, 0
	for s.at < len(s.data) {
		c := s.data[s.at]
		switch {
		case c == '"':
			if !s.skipString() {
				return nil, false
			}
		case c == '{' || c == '[':
			depth++
			s.at++
		case c == '}' || c == ']':
			if depth == 0 {
				return s.data[start:s.at], s.at > start
			}
			depth--
			s.at++
		case depth == 0 && (c == ',' || c == ':' || isSpace(c)):
			return s.data[start:s.at], s.at > start
		default:
			s.at++
			continue
		}
		if depth == 0 {
			return s.data[start:s.at], true
		}
	}
	return nil, false
}

// skipString skips a string. It returns false if the string does not end.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	s.at = len(s.data)
	return false
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }
