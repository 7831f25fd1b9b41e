package problem

import (
	"cmp"
	"fmt"
	"regexp"
	"time"
)

// nameRule describes namePattern in problems.
const nameRule = "1 to 63 lower-case letters, digits and hyphens, beginning with a letter"

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Checker collects problems. The zero value is ready for use.
type Checker struct{ list List }

// Add records a problem.
func (c *Checker) Add(path string, value any, expected string) {
	c.list = append(c.list, Problem{Path: path, Value: fmt.Sprint(value), Expected: expected})
}

// Require records a problem unless ok is set.
func (c *Checker) Require(ok bool, path string, value any, expected string) {
	if !ok {
		c.Add(path, value, expected)
	}
}

// CheckName records a problem unless value is a valid name.
func (c *Checker) CheckName(path, value string) {
	c.Require(namePattern.MatchString(value), path, value, nameRule)
}

// CheckRange records a problem unless value is from low to high, inclusive.
func CheckRange[T cmp.Ordered](c *Checker, path string, value, low, high T) {
	c.Require(value >= low && value <= high, path, value, fmt.Sprintf("%v to %v", low, high))
}

// CheckDuration records a problem unless value is from low to high, inclusive.
func (c *Checker) CheckDuration(path string, value, low, high time.Duration) {
	CheckRange(c, path, value, low, high)
}

// CheckUnique records a problem for each of n entries that has the same key as an earlier
// entry. The path of the problem is path[i] followed by field.
func CheckUnique[K comparable](c *Checker, path, field string, n int, key func(int) K) {
	seen := make(map[K]int, n)
	for i := range n {
		k := key(i)
		if first, ok := seen[k]; ok {
			c.Add(IndexedPath(path, i)+field, k, fmt.Sprintf("a value that differs from %s[%d]", path, first))
			continue
		}
		seen[k] = i
	}
}

// IndexedPath returns the path of entry i of the list at path.
func IndexedPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// Err returns the problems as a List, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.list) == 0 {
		return nil
	}
	return c.list
}
