// Package document reads INI texts and reports every mistake with its section, key and line.
package document

import (
	"strings"

	"gopkg.in/ini.v1"
)

// Row is one section of an INI text with its comments, as the operator wrote it.
type Row struct {
	// Section is the name in brackets; empty for lines before the first section.
	Section string
	// Line is the line of the section's header, counted from 1.
	Line int
	// Body holds the lines below the header.
	Body string
}

// Text returns the row as it stands in a file, with one blank line after it. The text does not depend on the row's
// place among others, so it is the same after any reordering.
func (r Row) Text() string {
	return "[" + r.Section + "]\n" + strings.TrimSpace(r.Body) + "\n\n"
}

// Document is a parsed INI text.
type Document struct {
	// Source names the file or table in mistakes.
	Source string
	rows   []Row
	file   *ini.File
}

// Parse reads an INI text. It reports malformed lines and repeated sections as Mistakes.
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

// Section returns a reader for the keys of one row.
func (d *Document) Section(row Row) *Section {
	return &Section{source: d.Source, row: row, values: d.file.Section(row.Section), readKeys: map[string]bool{}}
}

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

// splitRows cuts an INI text at its section headers.
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
