package problem

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestChecker guards against problems that do not name the field, the value and the
// expected value.
func TestChecker(t *testing.T) {
	tests := []struct {
		name  string
		check func(*Checker)
		want  string
	}{
		{"name", func(c *Checker) { c.CheckName("id", "A b") }, `id: got "A b", expected ` + nameRule},
		{"between", func(c *Checker) { CheckRange(c, "slots", 0, 1, 9) }, `slots: got "0", expected 1 to 9`},
		{"unique", func(c *Checker) {
			CheckUnique(c, "services", ".name", 2, func(int) string { return "a" })
		}, `services[1].name: got "a", expected a value that differs from services[0]`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Checker
			require.NoError(t, c.Err())
			tt.check(&c)
			require.EqualError(t, c.Err(), tt.want)
			list, ok := FromError(fmt.Errorf("answers: %w", c.Err()))
			require.True(t, ok)
			require.Len(t, list, 1)
		})
	}
}
