// Package document decodes operators' YAML files strictly and records the line and column of every field.
package document

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"papayacroft/finding"
)

// MaxBytes is the largest size of a document.
const MaxBytes = 16 << 20

// Document is a decoded file with the location of each field.
type Document struct {
	File string
	// nodes holds the YAML node of each field by its path.
	nodes map[string]*yaml.Node
}

// Decode reads a YAML document into the struct that target points to.
// Unknown keys, duplicate keys, missing keys of fields tagged required:"true", wrong types
// and an empty document each become a finding.
func Decode(file string, data []byte, target any) (*Document, finding.List) {
	doc := &Document{File: file, nodes: map[string]*yaml.Node{}}
	if len(data) > MaxBytes {
		return doc, doc.oneFinding(1, fmt.Sprintf("file has %d bytes; at most %d are allowed", len(data), MaxBytes))
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var root yaml.Node
	if err := dec.Decode(&root); err != nil {
		if errors.Is(err, io.EOF) {
			return doc, doc.oneFinding(1, "file is empty")
		}
		return doc, doc.oneFinding(syntaxErrorLine(err), err.Error())
	}
	var lst finding.List
	var next yaml.Node
	if err := dec.Decode(&next); err == nil {
		doc.add(&lst, &next, "", "only one YAML document is allowed in a file")
	} else if !errors.Is(err, io.EOF) {
		lst = append(lst, doc.oneFinding(syntaxErrorLine(err), err.Error())...)
	}
	if len(root.Content) == 0 || root.Content[0].Tag == "!!null" {
		return doc, doc.oneFinding(1, "file is empty")
	}
	doc.decode(&lst, root.Content[0], "", reflect.ValueOf(target).Elem())
	return doc, lst
}

// Locate fills in the file, line and column of findings that have only a path.
// A path that the file does not contain gets the location of its nearest parent.
func (doc *Document) Locate(lst finding.List) {
	for i := range lst {
		if lst[i].File != "" {
			continue
		}
		lst[i].File, lst[i].Line, lst[i].Column = doc.File, 1, 1
		for path := lst[i].Path; path != ""; path = parentPath(path) {
			if nd, ok := doc.nodes[path]; ok {
				lst[i].Line, lst[i].Column = nd.Line, nd.Column
				break
			}
		}
	}
}

// Has reports whether the file contains the path.
func (doc *Document) Has(path string) bool {
	_, ok := doc.nodes[path]
	return ok
}

func (doc *Document) oneFinding(line int, message string) finding.List {
	return finding.List{{File: doc.File, Line: line, Column: 1, Message: message}}
}

func (doc *Document) add(lst *finding.List, nd *yaml.Node, path, format string, args ...any) {
	*lst = append(*lst, finding.Finding{
		File: doc.File, Line: nd.Line, Column: nd.Column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

func (doc *Document) decode(lst *finding.List, nd *yaml.Node, path string, val reflect.Value) {
	if path != "" {
		doc.nodes[path] = nd
	}
	if nd.Kind == yaml.AliasNode {
		doc.add(lst, nd, path, "YAML aliases are not allowed")
		return
	}
	if _, ok := val.Addr().Interface().(interface{ UnmarshalText([]byte) error }); ok {
		doc.decodeScalar(lst, nd, path, val)
		return
	}
	switch val.Kind() {
	case reflect.Struct:
		doc.decodeMapping(lst, nd, path, val)
	case reflect.Slice:
		doc.decodeSequence(lst, nd, path, val)
	default:
		doc.decodeScalar(lst, nd, path, val)
	}
}

func (doc *Document) decodeMapping(lst *finding.List, nd *yaml.Node, path string, val reflect.Value) {
	if nd.Kind != yaml.MappingNode {
		doc.add(lst, nd, path, "a mapping is expected")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(nd.Content); i += 2 {
		key, child := nd.Content[i], nd.Content[i+1]
		childPath := joinPath(path, key.Value)
		if seen[key.Value] {
			doc.add(lst, key, childPath, "key is given twice")
			continue
		}
		seen[key.Value] = true
		fld, ok := fieldByTag(val, key.Value)
		if !ok {
			doc.add(lst, key, childPath, "unknown key; allowed are %s", strings.Join(allowedKeys(val), ", "))
			continue
		}
		doc.decode(lst, child, childPath, fld)
	}
	for _, name := range requiredKeys(val) {
		if !seen[name] {
			doc.add(lst, nd, joinPath(path, name), "key %q is missing", name)
		}
	}
}

func (doc *Document) decodeSequence(lst *finding.List, nd *yaml.Node, path string, val reflect.Value) {
	if nd.Kind != yaml.SequenceNode {
		doc.add(lst, nd, path, "a list is expected")
		return
	}
	out := reflect.MakeSlice(val.Type(), len(nd.Content), len(nd.Content))
	for i, child := range nd.Content {
		doc.decode(lst, child, itemPath(path, child, i), out.Index(i))
	}
	val.Set(out)
}

func (doc *Document) decodeScalar(lst *finding.List, nd *yaml.Node, path string, val reflect.Value) {
	if nd.Kind != yaml.ScalarNode {
		doc.add(lst, nd, path, "a single value is expected, %s", allowedValues(val))
		return
	}
	if nd.Tag == "!!null" {
		doc.add(lst, nd, path, "value is empty; %s is expected", allowedValues(val))
		return
	}
	if val.Kind() == reflect.String && nd.Tag != "!!str" {
		nd = &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: nd.Value, Line: nd.Line, Column: nd.Column}
	}
	if err := nd.Decode(val.Addr().Interface()); err != nil {
		doc.add(lst, nd, path, "value %q is not allowed; %s is expected", nd.Value, allowedValues(val))
	}
}

// itemPath returns the path of a list item, with the value of its name field in brackets, or else its index.
func itemPath(path string, nd *yaml.Node, index int) string {
	name := strconv.Itoa(index)
	if nd.Kind == yaml.MappingNode {
		for i := 0; i+1 < len(nd.Content); i += 2 {
			if nd.Content[i].Value == "name" && nd.Content[i+1].Value != "" {
				name = nd.Content[i+1].Value
			}
		}
	}
	return fmt.Sprintf("%s[%s]", path, name)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func parentPath(path string) string {
	idx := strings.LastIndexAny(path, ".[")
	if idx < 0 {
		return ""
	}
	return path[:idx]
}

func fieldByTag(val reflect.Value, key string) (reflect.Value, bool) {
	typ := val.Type()
	for i := range typ.NumField() {
		if tagName(typ.Field(i)) == key {
			return val.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func allowedKeys(val reflect.Value) []string {
	var keys []string
	for i := range val.Type().NumField() {
		if name := tagName(val.Type().Field(i)); name != "" {
			keys = append(keys, name)
		}
	}
	return keys
}

// requiredKeys lists the fields with the tag required:"true".
func requiredKeys(val reflect.Value) []string {
	var keys []string
	for i := range val.Type().NumField() {
		if fld := val.Type().Field(i); fld.Tag.Get("required") == "true" {
			keys = append(keys, tagName(fld))
		}
	}
	return keys
}

func tagName(fld reflect.StructField) string {
	name, _, _ := strings.Cut(fld.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func allowedValues(val reflect.Value) string {
	if dsc, ok := val.Addr().Interface().(interface{ Allowed() string }); ok {
		return dsc.Allowed()
	}
	switch val.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a text"
	}
}

var linePattern = regexp.MustCompile(`line (\d+)`)

// syntaxErrorLine parses the line out of the message of a YAML error, since the error type has no field for it.
func syntaxErrorLine(err error) int {
	match := linePattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 1
	}
	line, err := strconv.Atoi(match[1])
	if err != nil {
		return 1
	}
	return line
}
