package measure

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// pageName is the file name of the page in the output directory.
const pageName = "slopes.md"

// Table is one table of the page.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
	// Notes are printed below the table, one paragraph each.
	Notes []string
}

// add appends a row. Numbers of type float64 are formatted with formatNumber.
func (t *Table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		if f, ok := c.(float64); ok {
			c = formatNumber(f)
		}
		row = append(row, fmt.Sprint(c))
	}
	t.Rows = append(t.Rows, row)
}

// formatNumber formats a value with three significant digits, or as an integer
// if its magnitude is at least 1,000.
func formatNumber(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Markdown returns the title, the table and the notes as Markdown.
func (t Table) Markdown() string {
	var b strings.Builder
	if t.Title != "" {
		fmt.Fprintf(&b, "### %s\n\n", t.Title)
	}
	if len(t.Columns) > 0 {
		writeRow(&b, t.Columns)
		writeRow(&b, slices.Repeat([]string{"---"}, len(t.Columns)))
		for _, row := range t.Rows {
			writeRow(&b, row)
		}
		b.WriteString("\n")
	}
	for _, note := range t.Notes {
		b.WriteString(note + "\n\n")
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells []string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// page holds the Markdown text of each section by its name.
type page struct{ sectionText map[string]string }

// Each section starts with a marker line that contains its name, so that a
// later run of one section can keep the text of the others.
const (
	markerStart = "<!-- section "
	markerEnd   = " -->\n"
)

// readPage reads the page of an earlier run. The page is empty if there is
// none.
func readPage(dir string) (*page, error) {
	p := &page{sectionText: map[string]string{}}
	text, err := os.ReadFile(filepath.Join(dir, pageName))
	if errors.Is(err, fs.ErrNotExist) {
		return p, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the page of the previous run")
	}
	for _, part := range strings.Split(string(text), markerStart)[1:] {
		name, body, _ := strings.Cut(part, markerEnd)
		p.sectionText[name] = body
	}
	return p, nil
}

// set replaces the text of a section by a result.
func (p *page) set(s section, o Options, result Result) {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n", s.title)
	short := ""
	if o.Short {
		short = " --short"
	}
	fmt.Fprintf(&b, "`go run ./standin/cmd/measure --only %s%s --seed %d`, commit %s, %s, load average %s before and %s after.\n\n",
		s.name, short, o.Seed, o.Commit, o.Machine, result.loadBefore, result.loadAfter)
	if o.Short {
		b.WriteString("Short run: these figures are trials.\n\n")
	}
	for _, t := range result.Tables {
		b.WriteString(t.Markdown())
	}
	var names []string
	for name := range result.Plots {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "![%s](%s.png)\n\n", name, name)
	}
	p.sectionText[s.name] = b.String()
}

// write writes the page to its file, with the sections in their order.
func (p *page) write(dir string) error {
	var b strings.Builder
	b.WriteString("# Measurements\n\n`make measure` regenerates this page. ")
	b.WriteString("All processes of a fleet share one machine over loopback; other work ran on it at the same time, ")
	b.WriteString("so times include waits for a core.\n\n")
	for _, s := range sections() {
		if part, ok := p.sectionText[s.name]; ok {
			b.WriteString(markerStart + s.name + markerEnd + part)
		}
	}
	text := strings.TrimRight(b.String(), "\n") + "\n"
	return eris.Wrap(os.WriteFile(filepath.Join(dir, pageName), []byte(text), 0o644), "write the page")
}
