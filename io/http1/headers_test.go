package http1

import (
	"iter"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"galenaridge/core/exchange"
)

// TestCopyHeaders guards against headers that point into the buffer of a connection
// after they were copied, and against incorrect boundaries between names and
// values.
func TestCopyHeaders(t *testing.T) {
	tests := []struct {
		name string
		keep func([]byte) bool
		want []exchange.Header
	}{
		{"all", func([]byte) bool { return true }, []exchange.Header{{Name: "A", Value: "1"}, {Name: "Empty"}, {Name: "B", Value: "22"}}},
		{"some", func(name []byte) bool { return string(name) != "A" }, []exchange.Header{{Name: "Empty"}, {Name: "B", Value: "22"}}},
		{"none", func([]byte) bool { return false }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 2 {
				buffer := []byte("A1EmptyB22")
				got := CopyHeaders(pairs(buffer), tt.keep)
				copy(buffer, "xxxxxxxxxx")
				require.Equal(t, tt.want, got)
			}
		})
	}
}

func pairs(b []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func([]byte, []byte) bool) {
		_ = yield(b[0:1], b[1:2]) && yield(b[2:7], nil) && yield(b[7:8], b[8:10])
	}
}

// TestToLower guards against names that differ only in case being treated as different
// names.
func TestToLower(t *testing.T) {
	tests := []struct{ name, want string }{
		{"Keep-Alive", "keep-alive"},
		{"", ""},
		{"É-Z_[@", "É-z_[@"},
		{strings.Repeat("X", 40), strings.Repeat("x", 32)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var buffer NameBuffer
			require.Equal(t, tt.want, string(ToLower(&buffer, tt.name)))
			require.Equal(t, tt.want, string(ToLower(&buffer, []byte(tt.name))))
		})
	}
}
