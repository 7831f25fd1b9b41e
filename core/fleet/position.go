package fleet

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Era is the number of a history of the platform's store. It rises each time the store
// is restored from an older snapshot, since revisions are then issued again for other
// content. It is zero for a store that reports no era.
type Era uint64

// Position identifies a state of the platform's store. A later state has a higher one.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare orders positions by era and then by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is lower than another position.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// After reports whether p is higher than another position.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// IsZero reports whether p is the zero value, which identifies no state.
func (p Position) IsZero() bool { return p == Position{} }

// eraSeparator separates the era from the revision in the text of a position.
const eraSeparator = "/"

// String returns the revision, after the era and a slash unless the era is zero.
func (p Position) String() string {
	revision := strconv.FormatUint(uint64(p.Revision), 10)
	if p.Era == 0 {
		return revision
	}
	return strconv.FormatUint(uint64(p.Era), 10) + eraSeparator + revision
}

// ParsePosition parses the text that String returns.
func ParsePosition(text string) (Position, error) {
	var p Position
	if era, revision, found := strings.Cut(text, eraSeparator); found {
		n, err := strconv.ParseUint(era, 10, 64)
		if err != nil {
			return Position{}, fmt.Errorf("invalid era of a position: %w", err)
		}
		p.Era, text = Era(n), revision
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("invalid revision of a position: %w", err)
	}
	p.Revision = Revision(n)
	return p, nil
}
