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
type Problem struct {
	File  string
	Line  int    // from 1, 0 where it is none's
	Field string // such as workloads[1].client_timeout_s
	Text  string
}

func (p Problem) Error() string {
	at := p.File
	if p.Line > 0 {
		at += ":" + strconv.Itoa(p.Line)
	}
	if p.Field != "" {
		return at + ": " + p.Field + ": " + p.Text
	}
	return at + ": " + p.Text
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
const maxText = 16 << 20

// Parse is Load for a text that was read; file is for messages only.
func Parse(file string, text []byte, m proto.Message) error {
	if len(text) > maxText {
		return Problem{File: file, Text: fmt.Sprintf("longer than %d bytes", maxText)}
	}
	if err := prototext.Unmarshal(text, m); err != nil {
		return syntax(file, err)
	}
	c := &checker{file: file, lines: lines(text)}
	c.ranges(m.ProtoReflect(), "")
	if len(c.found) == 0 {
		c.refer(m)
	}
	return errors.Join(c.found...)
}

// position is how prototext tells where it stopped.
var position = regexp.MustCompile(`\(line (\d+):\d+\):\s*(.*)`)

func syntax(file string, err error) error {
	p := Problem{File: file, Text: err.Error()}
	if at := position.FindStringSubmatch(err.Error()); at != nil {
		p.Line, _ = strconv.Atoi(at[1])
		p.Text = at[2]
	}
	return p
}

type checker struct {
	file  string
	lines map[string]int // by field, as Problem names it
	found []error
}

func (c *checker) add(field, format string, a ...any) {
	line, at := 0, field
	for at != "" && line == 0 { // a field that isn't given is told at the message that lacks it
		line = c.lines[at]
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	c.found = append(c.found, Problem{c.file, line, field, fmt.Sprintf(format, a...)})
}

// ranges checks the schema's ranges and required fields.
func (c *checker) ranges(m protoreflect.Message, path string) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		at := string(f.Name())
		if path != "" {
			at = path + "." + at
		}
		if required(f) && !m.Has(f) {
			c.add(at, "is missing")
		}
		if !m.Has(f) {
			continue
		}
		if !f.IsList() {
			c.value(f, m.Get(f), at)
			continue
		}
		list := m.Get(f).List()
		for j := range list.Len() {
			c.value(f, list.Get(j), fmt.Sprintf("%s[%d]", at, j))
		}
	}
}

func (c *checker) value(f protoreflect.FieldDescriptor, v protoreflect.Value, at string) {
	var n float64
	switch f.Kind() {
	case protoreflect.MessageKind:
		c.ranges(v.Message(), at)
		return
	case protoreflect.DoubleKind:
		n = v.Float()
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		n = float64(v.Int())
	case protoreflect.EnumKind:
		if f.Enum().Values().ByNumber(v.Enum()) == nil {
			c.add(at, "%d is none of its values", v.Enum())
		}
		return
	default:
		return
	}
	r, told := proto.GetExtension(f.Options(), pb.E_Range).(*pb.Range)
	if told && r != nil && !(n >= r.GetMin() && n <= r.GetMax()) { // so that NaN is none
		c.add(at, "%v is out of range: from %v to %v", n, r.GetMin(), r.GetMax())
	}
}

func required(f protoreflect.FieldDescriptor) bool {
	return proto.HasExtension(f.Options(), pb.E_Required) && proto.GetExtension(f.Options(), pb.E_Required).(bool)
}

// lines finds the line of each field.
func lines(text []byte) map[string]int {
	found := map[string]int{}
	nodes, err := parser.Parse(text)
	if err != nil {
		return found
	}
	walk(nodes, "", found)
	return found
}

func walk(nodes []*ast.Node, path string, found map[string]int) {
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
			walk(children, item, found)
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
		walk(n.Children, at, found)
	}
}

// Effective is a copy of m with every default in its place.
func Effective[M proto.Message](m M) M {
	whole := proto.Clone(m).(M)
	fill(whole.ProtoReflect())
	if r, is := any(whole).(*pb.Router); is && r.GetAdmissionFile() != "" && any(m).(*pb.Router).Admission == nil { //nolint:forcetypeassert // the same type
		r.Admission = nil // the file has it
	}
	return whole
}

func fill(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsList() && f.Kind() == protoreflect.MessageKind:
			list := m.Get(f).List()
			for j := range list.Len() {
				fill(list.Get(j).Message())
			}
		case f.IsList():
		case f.Kind() == protoreflect.MessageKind:
			had := m.Has(f)
			part := m.Mutable(f).Message()
			fill(part)
			if !had && (required(f) || empty(part) || wants(part)) {
				m.Clear(f)
			}
		case !m.Has(f) && f.HasDefault():
			m.Set(f, f.Default())
		}
	}
}

// wants tells whether a message lacks a field that must be given: it stands for nothing by its defaults alone.
func wants(m protoreflect.Message) bool {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); required(f) && !m.Has(f) {
			return true
		}
	}
	return false
}

func empty(m protoreflect.Message) bool {
	empty := true
	m.Range(func(protoreflect.FieldDescriptor, protoreflect.Value) bool {
		empty = false
		return false
	})
	return empty
}

// Text is settings as a file would have them.
func Text(m proto.Message) string {
	return prototext.MarshalOptions{Multiline: true, Indent: "  "}.Format(m)
}
