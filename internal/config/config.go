// Package config reads settings in protobuf text format and checks them: an unknown field, a value out of
// range or a reference to nothing is told with file, line, field and what is allowed. Ranges stand in the
// schema (proto/config.proto, proto/day.proto); what a schema can't say is in refer.go. It opens no socket.
// cmd/cherryhub and internal/day call it.
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

// Problem is one fault of a file.
type FileError struct {
	File    string
	Line    int    // from 1, 0 where it is none's
	Field   string // such as workloads[1].client_timeout_s
	Message string
}

func (p FileError) Error() string {
	at := p.File
	if p.Line > 0 {
		at += ":" + strconv.Itoa(p.Line)
	}
	if p.Field != "" {
		return at + ": " + p.Field + ": " + p.Message
	}
	return at + ": " + p.Message
}

// Load reads a file of settings into m, a *pb.Router, *pb.Fleet or *pb.Day, and checks it. The error joins
// all Problems.
func Load(file string, m proto.Message) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text, m)
}

// maxText bounds a file of settings, in bytes.
const maxFileBytes = 16 << 20

// Parse is Load for a text that was read; file is for messages only.
func Parse(file string, text []byte, m proto.Message) error {
	if len(text) > maxFileBytes {
		return FileError{File: file, Message: fmt.Sprintf("longer than %d bytes", maxFileBytes)}
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

// position is how prototext tells where it stopped.
var linePattern = regexp.MustCompile(`\(line (\d+):\d+\):\s*(.*)`)

func syntaxError(file string, err error) error {
	p := FileError{File: file, Message: err.Error()}
	if at := linePattern.FindStringSubmatch(err.Error()); at != nil {
		p.Line, _ = strconv.Atoi(at[1])
		p.Message = at[2]
	}
	return p
}

type checker struct {
	file  string
	lines map[string]int // by field, as Problem names it
	errs  []error
}

func (c *checker) addError(field, format string, a ...any) {
	line, at := 0, field
	for at != "" && line == 0 { // a field that isn't given is told at the message that lacks it
		line = c.lines[at]
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	c.errs = append(c.errs, FileError{c.file, line, field, fmt.Sprintf(format, a...)})
}

// ranges checks the schema's ranges and required fields.
func (c *checker) checkMessage(m protoreflect.Message, path string) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		at := string(f.Name())
		if path != "" {
			at = path + "." + at
		}
		if isRequired(f) && !m.Has(f) {
			c.addError(at, "is missing")
		}
		if !m.Has(f) {
			continue
		}
		if !f.IsList() {
			c.checkValue(f, m.Get(f), at)
			continue
		}
		list := m.Get(f).List()
		for j := range list.Len() {
			c.checkValue(f, list.Get(j), fmt.Sprintf("%s[%d]", at, j))
		}
	}
}

func (c *checker) checkValue(f protoreflect.FieldDescriptor, v protoreflect.Value, at string) {
	var n float64
	switch f.Kind() {
	case protoreflect.MessageKind:
		c.checkMessage(v.Message(), at)
		return
	case protoreflect.DoubleKind:
		n = v.Float()
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		n = float64(v.Int())
	case protoreflect.EnumKind:
		if f.Enum().Values().ByNumber(v.Enum()) == nil {
			c.addError(at, "%d is none of its values", v.Enum())
		}
		return
	default:
		return
	}
	r, told := proto.GetExtension(f.Options(), pb.E_Range).(*pb.Range)
	if told && r != nil && !(n >= r.GetMin() && n <= r.GetMax()) { // so that NaN is none
		c.addError(at, "%v is out of range: from %v to %v", n, r.GetMin(), r.GetMax())
	}
}

func isRequired(f protoreflect.FieldDescriptor) bool {
	return proto.HasExtension(f.Options(), pb.E_Required) && proto.GetExtension(f.Options(), pb.E_Required).(bool)
}

// lines finds the line of each field.
func fieldLines(text []byte) map[string]int {
	found := map[string]int{}
	nodes, err := parser.Parse(text)
	if err != nil {
		return found
	}
	addFieldLines(nodes, "", found)
	return found
}

func addFieldLines(nodes []*ast.Node, path string, found map[string]int) {
	count := map[string]int{}
	for _, n := range nodes {
		if n.Name == "" {
			continue
		}
		at := n.Name
		if path != "" {
			at = path + "." + at
		}
		line := int(n.Start.Line) + len(n.PreComments)
		set := func(children []*ast.Node) {
			item := fmt.Sprintf("%s[%d]", at, count[n.Name])
			count[n.Name]++
			found[item] = line
			addFieldLines(children, item, found)
		}
		if _, seen := found[at]; !seen {
			found[at] = line
		}
		switch {
		case n.ChildrenAsList:
			for _, child := range n.Children {
				set(child.Children)
			}
		case len(n.Values) > 1:
			for range n.Values {
				set(nil)
			}
		default:
			set(n.Children)
		}
		addFieldLines(n.Children, at, found)
	}
}

// Effective is a copy of m with every default in its place.
func WithDefaults[M proto.Message](m M) M {
	whole := proto.Clone(m).(M)
	setDefaults(whole.ProtoReflect())
	if r, is := any(whole).(*pb.Router); is && r.GetAdmissionFile() != "" && any(m).(*pb.Router).Admission == nil { //nolint:forcetypeassert // the same type
		r.Admission = nil // the file has it
	}
	return whole
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
			had := m.Has(f)
			part := m.Mutable(f).Message()
			setDefaults(part)
			if !had && (isRequired(f) || isEmpty(part) || lacksRequired(part)) {
				m.Clear(f)
			}
		case !m.Has(f) && f.HasDefault():
			m.Set(f, f.Default())
		}
	}
}

// wants tells whether a message lacks a field that must be given: it stands for nothing by its defaults alone.
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

// Text is settings as a file would have them.
func Format(m proto.Message) string {
	return prototext.MarshalOptions{Multiline: true, Indent: "  "}.Format(m)
}
