package table

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"auburnstack/core/account"
	"auburnstack/core/document"
	"auburnstack/core/domain"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/shape"
)

// Limits and defaults for the values in the tables.
const (
	// MaxTableBytes is the maximum size of one table's text.
	MaxTableBytes = 4 << 20
	// MaxDeadline is the maximum deadline of a route.
	MaxDeadline = time.Hour
	// MaxCount is the maximum number of blocks in one pool.
	MaxCount = 1 << 20
	// DefaultDeadline applies to routes without a deadline.
	DefaultDeadline = 30 * time.Second
)

// Prefixes of section names. They distinguish the kinds of rows.
const (
	routePrefix  = "Route."
	poolPrefix   = "Pool."
	domainPrefix = "FailureDomain."
)

// Parse parses both tables and checks that every route names a pool of its account. Its error is of type
// document.Mistakes and holds every mistake in both texts.
func Parse(revision Revision, routesText, poolsText string) (*Tables, error) {
	p := &parser{tables: Empty(), routeSections: map[route.Key]*document.Section{}}
	p.tables.Revision = revision
	p.parseTable(Pools, poolsText)
	p.parseTable(Routes, routesText)
	p.checkReferences()
	p.tables.collectDomains()
	if err := p.mistakes.ErrorOrNil(); err != nil {
		return nil, err
	}
	return p.tables, nil
}

// parser builds tables row by row and collects the mistakes.
type parser struct {
	tables   *Tables
	mistakes document.Mistakes
	// routeSections holds the section of each parsed route. checkReferences uses it to report mistakes with their lines
	// after all rows have been parsed.
	routeSections map[route.Key]*document.Section
}

func (p *parser) parseTable(kind Kind, text string) {
	if len(text) > MaxTableBytes {
		p.reject(kind, document.Row{}, fmt.Sprintf("the table is larger than %d bytes", MaxTableBytes))
		return
	}
	parsed, err := document.Parse(string(kind), []byte(text))
	if err != nil {
		p.addError(err)
		return
	}
	for _, row := range parsed.Rows() {
		section := parsed.Section(row)
		p.parseRow(kind, row, section)
		p.mistakes = append(p.mistakes, section.Finish()...)
		p.tables.setRow(rowKey{table: kind, section: row.Section}, row.Text())
	}
}

func (p *parser) parseRow(kind Kind, row document.Row, section *document.Section) {
	switch {
	case kind == Routes && strings.HasPrefix(row.Section, routePrefix):
		p.parseRoute(p.rowName(kind, row, routePrefix), section)
	case kind == Pools && strings.HasPrefix(row.Section, poolPrefix):
		p.parsePool(p.rowName(kind, row, poolPrefix), section)
	case kind == Pools && strings.HasPrefix(row.Section, domainPrefix):
		p.parseDomain(p.rowName(kind, row, domainPrefix), section)
	default:
		p.reject(kind, row, "a row is [Route.NAME] in Routes, [Pool.NAME] or [FailureDomain.NAME] in Pools")
	}
}

// rowName returns the name after the prefix of a section, and adds a mistake if it is not a valid name.
func (p *parser) rowName(kind Kind, row document.Row, prefix string) string {
	name := strings.TrimPrefix(row.Section, prefix)
	if !document.ValidName(name) {
		p.reject(kind, row, fmt.Sprintf("%q is not a name", name))
	}
	return name
}

func (p *parser) parseRoute(name string, section *document.Section) {
	r := route.Route{
		Name: name,
		Key: route.Key{
			ClientAccount: account.Name(section.Name("ClientAccount")),
			Kind:          route.Kind(section.Name("Kind")),
		},
		Pool:       pool.Name(section.Name("Pool")),
		Deadline:   section.Duration("Deadline", DefaultDeadline, time.Millisecond, MaxDeadline),
		Idempotent: section.Bool("Idempotent", false),
	}
	class, err := route.ParseClass(section.Text("Class"))
	if err != nil {
		section.Reject("Class", err.Error())
	}
	r.Class = class
	if other, taken := p.tables.routes[r.Key]; taken {
		section.Reject("Kind", fmt.Sprintf("Route.%s already routes this kind for this account", other.Name))
		return
	}
	p.tables.routes[r.Key] = r
	p.tables.routeKeys[routePrefix+name] = r.Key
	p.routeSections[r.Key] = section
}

func (p *parser) parsePool(name string, section *document.Section) {
	parsed := pool.Pool{
		Name:          pool.Name(name),
		ClientAccount: account.Name(section.Name("ClientAccount")),
		Count:         section.Int("Count", 0, 0, MaxCount),
	}
	block, err := shape.Parse(section.Text("Shape"))
	if err != nil {
		section.Reject("Shape", err.Error())
	}
	parsed.Shape = block
	for _, name := range section.Names("FailureDomains") {
		if parsed.Allows(domain.Name(name)) {
			section.Reject("FailureDomains", fmt.Sprintf("%s stands twice", name))
		}
		parsed.FailureDomains = append(parsed.FailureDomains, domain.Name(name))
	}
	p.tables.pools[parsed.Name] = parsed
}

func (p *parser) parseDomain(name string, section *document.Section) {
	state, err := domain.ParseState(section.Text("State"))
	if err != nil {
		section.Reject("State", err.Error())
	}
	p.tables.declared[domain.Name(name)] = domain.Domain{Name: domain.Name(name), State: state}
}

// checkReferences checks that every parsed route names a pool of its account, and sorts all mistakes by table and line.
func (p *parser) checkReferences() {
	for key, section := range p.routeSections {
		before := len(section.Finish())
		p.checkRoutePool(p.tables.routes[key], section)
		p.mistakes = append(p.mistakes, section.Finish()[before:]...)
	}
	sort.SliceStable(p.mistakes, func(i, j int) bool {
		a, b := p.mistakes[i], p.mistakes[j]
		return a.Source < b.Source || a.Source == b.Source && a.Line < b.Line
	})
}

func (p *parser) checkRoutePool(r route.Route, section *document.Section) {
	target, known := p.tables.pools[r.Pool]
	switch {
	case !known:
		section.Reject("Pool", fmt.Sprintf("there is no [Pool.%s]", r.Pool))
	case target.ClientAccount != r.ClientAccount:
		section.Reject("Pool", fmt.Sprintf("[Pool.%s] belongs to %s", r.Pool, target.ClientAccount))
	}
}

func (p *parser) reject(kind Kind, row document.Row, message string) {
	p.mistakes = append(p.mistakes, document.Mistake{
		Source: string(kind), Section: row.Section, Line: row.Line, Message: message,
	})
}

func (p *parser) addError(err error) {
	if mistakes, ok := err.(document.Mistakes); ok { //nolint:errorlint // document.Parse returns the bare type
		p.mistakes = append(p.mistakes, mistakes...)
		return
	}
	p.mistakes = append(p.mistakes, document.Mistake{Message: err.Error()})
}
