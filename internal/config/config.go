// Package config reads settings files in protobuf text format, validates them and converts them to the options of the
// other packages. An unknown field, a value out of range or a dangling reference is reported with file, line, field and
// what is allowed. Ranges are declared in the schema (proto/config.proto, proto/day.proto); checks that a schema can't
// express are in references.go and lab.go. The package opens no sockets.
package config

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "cherryhub/proto"
)

// FileError is one error in a settings or results file.
type FileError struct {
	File    string
	Line    int    // from 1; 0 if the error has no position
	Field   string // such as workloads[1].client_timeout_s; may be empty
	Message string
}

func (e FileError) Error() string {
	location := e.File
	if e.Line > 0 {
		location += ":" + strconv.Itoa(e.Line)
	}
	if e.Field != "" {
		return location + ": " + e.Field + ": " + e.Message
	}
	return location + ": " + e.Message
}

// Load reads a settings file into m, a *pb.Router, *pb.Fleet, *pb.Day, *pb.Experiment or *pb.Admission, and validates it.
// The error joins all FileErrors that were found.
func Load(file string, m proto.Message) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text, m)
}

const maxFileBytes = 16 << 20

// Parse is like Load for text that is already in memory. file is only used in error messages.
func Parse(file string, text []byte, m proto.Message) error {
	if len(text) > maxFileBytes {
		return FileError{File: file, Message: fmt.Sprintf("file is larger than %d bytes", maxFileBytes)}
	}
	if err := prototext.Unmarshal(text, m); err != nil {
		return syntaxError(file, err)
	}
	c := &checker{file: file, lines: fieldLines(text)}
	c.checkMessage(m.ProtoReflect(), "")
	if len(c.errs) == 0 {
		c.checkReferences(m)
	}
	return errors.Join(c.errs...)
}

// linePattern matches the position in the error messages of prototext.
var linePattern = regexp.MustCompile(`\(line (\d+):\d+\):\s*(.*)`)

func syntaxError(file string, err error) error {
	fileErr := FileError{File: file, Message: err.Error()}
	if match := linePattern.FindStringSubmatch(err.Error()); match != nil {
		fileErr.Line, _ = strconv.Atoi(match[1])
		fileErr.Message = match[2]
	}
	return fileErr
}

// checker collects the errors of one settings file.
type checker struct {
	file  string
	lines map[string]int // line numbers by field, named as in FileError.Field
	errs  []error
}

func (c *checker) addError(field, format string, a ...any) {
	line, ancestor := 0, field
	for ancestor != "" && line == 0 { // a missing field is reported at the line of the message that lacks it
		line = c.lines[ancestor]
		ancestor = ancestor[:max(0, strings.LastIndexByte(ancestor, '.'))]
	}
	c.errs = append(c.errs, FileError{c.file, line, field, fmt.Sprintf(format, a...)})
}

// checkMessage checks the ranges and required fields that the schema declares.
func (c *checker) checkMessage(m protoreflect.Message, path string) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		fieldPath := string(f.Name())
		if path != "" {
			fieldPath = path + "." + fieldPath
		}
		if isRequired(f) && !m.Has(f) {
			c.addError(fieldPath, "is missing")
		}
		if !m.Has(f) {
			continue
		}
		if !f.IsList() {
			c.checkValue(f, m.Get(f), fieldPath)
			continue
		}
		list := m.Get(f).List()
		for j := range list.Len() {
			c.checkValue(f, list.Get(j), fmt.Sprintf("%s[%d]", fieldPath, j))
		}
	}
}

func (c *checker) checkValue(f protoreflect.FieldDescriptor, v protoreflect.Value, fieldPath string) {
	var n float64
	switch f.Kind() {
	case protoreflect.MessageKind:
		c.checkMessage(v.Message(), fieldPath)
		return
	case protoreflect.DoubleKind:
		n = v.Float()
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		n = float64(v.Int())
	case protoreflect.EnumKind:
		if f.Enum().Values().ByNumber(v.Enum()) == nil {
			c.addError(fieldPath, "%d is not a value of this enum", v.Enum())
		}
		return
	default:
		return
	}
	r, ok := proto.GetExtension(f.Options(), pb.E_Range).(*pb.Range)
	if ok && r != nil && !(n >= r.GetMin() && n <= r.GetMax()) { // negated, so that NaN is out of range
		c.addError(fieldPath, "%v is out of range: from %v to %v", n, r.GetMin(), r.GetMax())
	}
}

func isRequired(f protoreflect.FieldDescriptor) bool {
	return proto.HasExtension(f.Options(), pb.E_Required) && proto.GetExtension(f.Options(), pb.E_Required).(bool)
}

// fieldLines returns the line number of each field by its path, such as workloads[1].name.
func fieldLines(text []byte) map[string]int {
	lines := map[string]int{}
	nodes, err := parser.Parse(text)
	if err != nil {
		return lines
	}
	addFieldLines(nodes, "", lines)
	return lines
}

// addFieldLines adds the lines of nodes and their children to lines. A field is entered under its plain path and, as an item of
// a repeated field, with its index; path is that of the enclosing message.
func addFieldLines(nodes []*ast.Node, path string, lines map[string]int) {
	counts := map[string]int{}
	for _, n := range nodes {
		if n.Name == "" {
			continue
		}
		fieldPath := n.Name
		if path != "" {
			fieldPath = path + "." + fieldPath
		}
		line := int(n.Start.Line) + len(n.PreComments)
		addItem := func(children []*ast.Node) {
			item := fmt.Sprintf("%s[%d]", fieldPath, counts[n.Name])
			counts[n.Name]++
			lines[item] = line
			addFieldLines(children, item, lines)
		}
		if _, ok := lines[fieldPath]; !ok {
			lines[fieldPath] = line
		}
		switch {
		case n.ChildrenAsList:
			for _, child := range n.Children {
				addItem(child.Children)
			}
		case len(n.Values) > 1:
			for range n.Values {
				addItem(nil)
			}
		default:
			addItem(n.Children)
		}
		addFieldLines(n.Children, fieldPath, lines)
	}
}

// WithDefaults returns a copy of m in which every field that is not set has its default.
func WithDefaults[M proto.Message](m M) M {
	full := proto.Clone(m).(M)
	setDefaults(full.ProtoReflect())
	if r, isRouter := any(full).(*pb.Router); isRouter && r.GetAdmissionFile() != "" && any(m).(*pb.Router).Admission == nil { //nolint:forcetypeassert // m and full have the same type
		r.Admission = nil // the admission settings come from the file
	}
	return full
}

func setDefaults(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsList() && f.Kind() == protoreflect.MessageKind:
			list := m.Get(f).List()
			for j := range list.Len() {
				setDefaults(list.Get(j).Message())
			}
		case f.IsList():
		case f.Kind() == protoreflect.MessageKind:
			wasSet := m.Has(f)
			sub := m.Mutable(f).Message()
			setDefaults(sub)
			if !wasSet && (isRequired(f) || isEmpty(sub) || lacksRequired(sub)) {
				m.Clear(f)
			}
		case !m.Has(f) && f.HasDefault():
			m.Set(f, f.Default())
		}
	}
}

// lacksRequired reports whether a required field is missing. Such a message can't be built from defaults alone.
func lacksRequired(m protoreflect.Message) bool {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); isRequired(f) && !m.Has(f) {
			return true
		}
	}
	return false
}

func isEmpty(m protoreflect.Message) bool {
	empty := true
	m.Range(func(protoreflect.FieldDescriptor, protoreflect.Value) bool {
		empty = false
		return false
	})
	return empty
}

// Format returns m in the text format of settings files.
func Format(m proto.Message) string {
	return prototext.MarshalOptions{Multiline: true, Indent: "  "}.Format(m)
}
