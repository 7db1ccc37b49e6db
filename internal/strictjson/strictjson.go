// Package strictjson decodes hand-written JSON files and reports all their faults
// at once, each with line, column and JSON pointer (RFC 6901).
//
// encoding/json reports only one wrong type and gives no position for an unknown
// field. This package parses the file into a syntax tree with offsets, checks
// the tree against the Go type it decodes into, and decodes only a tree without
// faults. Comments and trailing commas are allowed.
//
// # Usage
//
//	var s Settings
//	faults := strictjson.Decode("node.json", data, &s, func(fault strictjson.Report) {
//		if s.Name == "" {
//			fault("/name", "want a name")
//		}
//	})
package strictjson

import (
	"encoding"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one error in a file. Line and Column are 1-based, Column in bytes;
// Path is a JSON pointer (RFC 6901), empty for a syntax error and for the whole
// document.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String formats the fault as file:line:column: path: message, as compilers do.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}

// Report records a fault at the value that a JSON pointer names or, if the file
// has no such value, at its nearest enclosing value.
type Report func(pointer, format string, args ...any)

// Decode decodes data into the struct that into points to and returns all faults.
// If there are any, the contents of into are unspecified. The file name is used
// in faults only. After decoding, check (may be nil) validates what the Go type
// cannot express.
func Decode(file string, data []byte, into any, check func(Report)) []Fault {
	p := &parser{file: file, data: data}
	root, err := hujson.Parse(data)
	if err != nil {
		p.addSyntax(err)
		return p.faults
	}
	p.root = root
	p.walk(&root, reflect.TypeOf(into).Elem(), "")
	if len(p.faults) > 0 {
		return p.faults
	}
	if err := json.Unmarshal(standardized(root), into); err != nil {
		p.addAt(0, "", "%v", err)
		return p.faults
	}
	if check != nil {
		check(p.add)
	}
	return p.faults
}

// Standardize returns source without comments and trailing commas. It returns a
// source that does not parse unchanged.
func Standardize(source []byte) []byte {
	v, err := hujson.Parse(source)
	if err != nil {
		return source
	}
	return standardized(v)
}

// EscapePointer escapes a name for use as one token of a JSON pointer.
func EscapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}

func standardized(v hujson.Value) []byte {
	v = v.Clone()
	v.Standardize()
	return v.Pack()
}

// parser collects the faults of one file.
type parser struct {
	file   string
	data   []byte
	root   hujson.Value
	faults []Fault
}

// add records a fault at the value that the JSON pointer path names, or at its
// nearest enclosing value.
func (p *parser) add(path, format string, args ...any) {
	offset := 0
	for at := path; ; at = at[:strings.LastIndexByte(at, '/')] {
		if v := p.root.Find(at); v != nil {
			offset = v.StartOffset
			break
		}
		if at == "" {
			break
		}
	}
	p.addAt(offset, path, format, args...)
}

func (p *parser) addAt(offset int, path, format string, args ...any) {
	line, column := lineColumn(p.data, offset)
	p.faults = append(p.faults, Fault{
		File:    p.file,
		Line:    line,
		Column:  column,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

// addSyntax records a syntax error. The position at the start of hujson's message
// moves into the fault's line and column.
func (p *parser) addSyntax(err error) {
	var line, column int
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	p.faults = append(p.faults, Fault{File: p.file, Line: max(line, 1), Column: max(column, 1), Message: message})
}

func lineColumn(data []byte, offset int) (line, column int) {
	before := string(data[:min(offset, len(data))])
	line = strings.Count(before, "\n") + 1
	column = len(before) - strings.LastIndexByte(before, '\n')
	return line, column
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// walk checks a value against the Go type it decodes into and records all unknown
// fields and wrong types, not only the first.
func (p *parser) walk(v *hujson.Value, t reflect.Type, path string) {
	if v.Value.Kind() == 'n' && (t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice) {
		return
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case reflect.PointerTo(t).Implements(textUnmarshaler):
		p.walkText(v, t, path)
	case t.Kind() == reflect.Struct:
		p.walkStruct(v, t, path)
	case t.Kind() == reflect.Slice:
		p.walkSlice(v, t, path)
	default:
		p.walkLiteral(v, t, path)
	}
}

func (p *parser) walkText(v *hujson.Value, t reflect.Type, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		p.addAt(v.StartOffset, path, "want a string, found %s", kindOf(v))
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(literal.String())); err != nil {
		p.addAt(v.StartOffset, path, "unknown value %q", literal.String())
	}
}

func (p *parser) walkStruct(v *hujson.Value, t reflect.Type, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addAt(v.StartOffset, path, "want an object, found %s", kindOf(v))
		return
	}
	fields := fieldTypes(t)
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := path + "/" + EscapePointer(name)
		field, known := fields[name]
		switch {
		case !known:
			p.addAt(member.Name.StartOffset, memberPath, "unknown field %q", name)
		case seen[name]:
			p.addAt(member.Name.StartOffset, memberPath, "field %q stands twice", name)
		default:
			p.walk(&member.Value, field, memberPath)
		}
		seen[name] = true
	}
}

func (p *parser) walkSlice(v *hujson.Value, t reflect.Type, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		p.addAt(v.StartOffset, path, "want an array, found %s", kindOf(v))
		return
	}
	for i := range array.Elements {
		p.walk(&array.Elements[i], t.Elem(), fmt.Sprintf("%s/%d", path, i))
	}
}

func (p *parser) walkLiteral(v *hujson.Value, t reflect.Type, path string) {
	target := reflect.New(t).Interface()
	if err := json.Unmarshal(standardized(*v), target); err != nil {
		p.addAt(v.StartOffset, path, "want %s, found %s", typeName(t), kindOf(v))
	}
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Anonymous {
			maps.Copy(fields, fieldTypes(field.Type))
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	return fields
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a number"
	}
}

func kindOf(v *hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	default:
		return "an array"
	}
}
