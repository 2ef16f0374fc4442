// Package boundedjson checks JSON from clients, engines and other outside systems before it is parsed at the cost of memory.
// The validation of gjson descends into arrays and objects by recursion, so each level of nesting costs stack, and a
// goroutine's stack stays as large as it has grown until a garbage collection: the depth is bounded first. An array is decoded
// into elements that may be many times larger than their text: CountElements tells their number first.
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

// CountElements returns the number of elements of a valid JSON array, and 0 for any other value.
func CountElements(text []byte) (count int) {
	value := gjson.ParseBytes(text)
	if !value.IsArray() {
		return 0
	}
	value.ForEach(func(_, _ gjson.Result) bool {
		count++
		return true
	})
	return count
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
