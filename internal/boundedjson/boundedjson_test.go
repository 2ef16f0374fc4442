package boundedjson

import (
	"encoding/json"
	"runtime/metrics"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// nested returns an array that nests this many levels deep.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

func TestDepth(t *testing.T) {
	for text, valid := range map[string]bool{
		nested(MaxDepth):                            true,
		nested(MaxDepth + 1):                        false,
		`{"a":` + nested(MaxDepth-1) + `}`:          true,
		`{"a":` + nested(MaxDepth) + `}`:            false,
		`["` + strings.Repeat("[", 1000) + `"]`:     true,
		`["\"` + strings.Repeat("[", 1000) + `"]`:   true,
		`["\\",` + nested(MaxDepth) + `]`:           false,
		`[` + strings.Repeat("[],{},", 1000) + `0]`: true,
		`[`:                             false,
		`"` + strings.Repeat("[", 1000): false,
		strings.Repeat("]", 1000) + strings.Repeat("[", 1000):  false,
		strings.Repeat(`{"a":`, 1000) + strings.Repeat("}", 9): false,
		``: false,
	} {
		require.Equal(t, valid, Valid([]byte(text)), "%.80s", text)
	}
}

func TestCountElements(t *testing.T) {
	for text, count := range map[string]int{`[]`: 0, `[null]`: 1, ` [[1,2],{"a":[3,4]},"]," , 5 ] `: 4, `{"a":[1]}`: 0, `null`: 0, `7`: 0} {
		require.Equal(t, count, CountElements([]byte(text)), text)
	}
}

// TestStackIsBounded guards against validation whose stack grows with the text: 256 KiB of opening brackets took 32 MiB.
func TestStackIsBounded(t *testing.T) {
	const maxStackBytes = 1 << 20
	stackBytes := func() uint64 {
		samples := []metrics.Sample{{Name: "/memory/classes/heap/stacks:bytes"}}
		metrics.Read(samples)
		return samples[0].Value.Uint64()
	}
	text := []byte(strings.Repeat("[", 256<<10))
	before := stackBytes()
	grown := make(chan uint64)
	go func() { // whose stack is small at first
		Valid(text)
		grown <- stackBytes() - before
	}()
	require.Less(t, <-grown, uint64(maxStackBytes))
}

// FuzzValid checks that the depth is counted as the standard library's parser does.
func FuzzValid(f *testing.F) {
	f.Add([]byte(nested(MaxDepth + 1)))
	f.Add([]byte(`{"a\\":["]",{"b":"\""}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if IsDeeperThan(text, MaxDepth) {
			require.False(t, Valid(text))
		} else if json.Valid(text) {
			require.True(t, Valid(text))
		}
	})
}
