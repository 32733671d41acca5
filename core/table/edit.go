package table

import (
	"sort"

	"github.com/pkg/errors"

	"auburnstack/core/document"
	"auburnstack/core/route"
)

// EditID identifies one operator's edit. It lets a writer that got no reply find out whether its edit was accepted.
type EditID string

// RowChange adds, replaces or removes one row, a section of a table.
type RowChange struct {
	Table   Kind
	Section string
	// Text is the new row with its section header; empty if the row is removed.
	Text string
}

// Edit is the difference between two successive revisions of the tables, the operators' settings for routes and pools.
type Edit struct {
	ID EditID
	// Base is the revision that the edit is based on.
	Base    Revision
	Changes []RowChange
	// Digest identifies the content of both tables after the edit.
	Digest string
}

// ErrStaleBase reports that an edit is based on another revision than that of the tables it is applied to.
var ErrStaleBase = errors.New("the edit was made against another revision")

// ErrDigest reports that applying an edit gave tables whose digest differs from the field Digest of the edit.
var ErrDigest = errors.New("the tables' digest differs from the accepted one")

// Diff returns the edit that turns before into after.
func Diff(id EditID, before, after *Tables) Edit {
	edit := Edit{ID: id, Base: before.Revision, Digest: after.Digest()}
	for key, text := range after.rows {
		if before.rows[key] != text {
			edit.Changes = append(edit.Changes, RowChange{Table: key.table, Section: key.section, Text: text})
		}
	}
	for key := range before.rows {
		if _, kept := after.rows[key]; !kept {
			edit.Changes = append(edit.Changes, RowChange{Table: key.table, Section: key.section})
		}
	}
	sort.Slice(edit.Changes, func(i, j int) bool {
		a, b := edit.Changes[i], edit.Changes[j]
		return a.Table > b.Table || a.Table == b.Table && a.Section < b.Section
	})
	return edit
}

// Apply returns the tables after the edit. It parses only the changed rows, so that a small edit of large tables is
// cheap. It fails with ErrStaleBase, ErrDigest or document.Mistakes.
func (t *Tables) Apply(edit Edit) (*Tables, error) {
	if edit.Base != t.Revision {
		return nil, ErrStaleBase
	}
	p := &parser{tables: t.nextRevision(), routeSections: map[route.Key]*document.Section{}}
	for _, change := range edit.Changes {
		p.tables.removeRow(rowKey{table: change.Table, section: change.Section})
	}
	for _, change := range edit.Changes {
		p.parseTable(change.Table, change.Text)
	}
	p.checkRoutes()
	if err := p.mistakes.ErrorOrNil(); err != nil {
		return nil, err
	}
	p.tables.collectDomains()
	if p.tables.Digest() != edit.Digest {
		return nil, ErrDigest
	}
	return p.tables, nil
}

// checkRoutes adds a mistake for every route whose pool is missing or belongs to another account.
func (p *parser) checkRoutes() {
	for _, r := range p.tables.routes {
		if target, known := p.tables.pools[r.Pool]; !known || target.ClientAccount != r.ClientAccount {
			p.reject(Routes, document.Row{Section: routePrefix + r.Name}, "the route leads to no pool of its account")
		}
	}
}

// RowChanges returns one line for each changed row, for operators: "~ " marks a new or replaced row, "- " a removed
// one.
func (e Edit) RowChanges() []string {
	lines := make([]string, 0, len(e.Changes))
	for _, change := range e.Changes {
		sign := "~ "
		if change.Text == "" {
			sign = "- "
		}
		lines = append(lines, sign+string(change.Table)+" ["+change.Section+"]")
	}
	return lines
}
