// Package boundedjson validates JSON from clients, engines and other outside systems with a bounded stack. The validation of
// gjson descends into arrays and objects by recursion, so each level of nesting costs stack, and a goroutine's stack stays as
// large as it has grown until a garbage collection. This package bounds the depth before gjson looks at the text.
package boundedjson

import (
	"bytes"

	"github.com/tidwall/gjson"
)

// MaxDepth is the largest nesting depth, in levels, of a text whose depth is not a setting. It is the default of
// limits.max_depth in the configuration of serve.
const MaxDepth = 64

// Valid reports whether text is valid JSON that nests at most MaxDepth levels deep.
func Valid(text []byte) bool {
	return !IsDeeperThan(text, MaxDepth) && gjson.ValidBytes(text)
}

// IsDeeperThan reports whether the arrays and objects of text nest more than maxDepth levels deep. Text that is not JSON has
// the depth of what precedes its first error, at least.
func IsDeeperThan(text []byte, maxDepth int) bool {
	if bytes.Count(text, []byte{'['})+bytes.Count(text, []byte{'{'}) <= maxDepth {
		return false
	}
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
		case '[', '{':
			if depth++; depth > maxDepth {
				return true
			}
		case ']', '}':
			depth--
		}
	}
	return false
}

// stringEnd returns the index of the quote that ends the string beginning at start, or of the text's end.
func stringEnd(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}
