// Package document parses INI texts and reports every mistake with its section, key and line.
package document

import (
	"strings"

	"gopkg.in/ini.v1"
)

// Row is the source text of one section of an INI text, including its comments.
type Row struct {
	// Section is the name of the section: the text between the brackets of its header.
	Section string
	// Line is the line number of the section's header, counted from 1.
	Line int
	// Body holds the lines between this header and the next one.
	Body string
}

// Text returns the header and the body of the row without surrounding blank lines, followed by one blank line. It does
// not depend on the row's position in the text.
func (r Row) Text() string {
	return "[" + r.Section + "]\n" + strings.TrimSpace(r.Body) + "\n\n"
}

// Document is a parsed INI text.
type Document struct {
	// Source is the name of the file or table, which the reported mistakes contain.
	Source string
	rows   []Row
	file   *ini.File
}

// Parse parses an INI text. It reports malformed lines and duplicate sections as an error of type Mistakes.
func Parse(source string, text []byte) (*Document, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, text)
	if err != nil {
		return nil, Mistakes{{Source: source, Message: err.Error()}}
	}
	d := &Document{Source: source, rows: splitRows(text), file: file}
	if mistakes := d.repeatedSections(); len(mistakes) > 0 {
		return nil, mistakes
	}
	return d, nil
}

// Rows returns the sections in the order of the text.
func (d *Document) Rows() []Row {
	return d.rows
}

// Section returns a Section that reads the keys of the given row.
func (d *Document) Section(row Row) *Section {
	return &Section{source: d.Source, row: row, values: d.file.Section(row.Section), readKeys: map[string]bool{}}
}

// repeatedSections returns a mistake for each section whose name occurred before.
func (d *Document) repeatedSections() Mistakes {
	var mistakes Mistakes
	seen := map[string]int{}
	for _, row := range d.rows {
		if _, repeated := seen[row.Section]; repeated {
			mistakes = append(mistakes, Mistake{
				Source: d.Source, Section: row.Section, Line: row.Line, Message: "this section stands twice",
			})
		}
		seen[row.Section] = row.Line
	}
	return mistakes
}

// splitRows splits an INI text at its section headers. It drops the lines before the first header.
func splitRows(text []byte) []Row {
	var rows []Row
	for i, line := range strings.Split(strings.TrimRight(string(text), "\n"), "\n") {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") && strings.HasSuffix(trimmed, "]") {
			rows = append(rows, Row{Section: strings.TrimSpace(trimmed[1 : len(trimmed)-1]), Line: i + 1})
			continue
		}
		if len(rows) > 0 {
			rows[len(rows)-1].Body += line + "\n"
		}
	}
	return rows
}
