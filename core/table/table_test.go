package table_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"auburnstack/core/table"
)

// TestMain sets a fixed seed for the random tables unless a flag sets one, so that test runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// drawTables returns the texts of two random tables. Each route names an existing pool of its account; two routes may
// have the same key.
func drawTables(t *rapid.T, label string) (routes, pools string) {
	count := rapid.IntRange(0, 5).Draw(t, label+"pools")
	for i := range count {
		pools += fmt.Sprintf("[Pool.P%d]\nClientAccount = A%d\nShape = %dx8\nCount = %d\nFailureDomains = D%d, D9\n\n\n",
			i, i, rapid.IntRange(1, 3).Draw(t, label+"members"), i, rapid.IntRange(0, 2).Draw(t, label+"domain"))
		for k := range rapid.IntRange(0, 2).Draw(t, label+"routes") {
			kind := rapid.IntRange(0, 3).Draw(t, label+"kind")*4 + k
			routes += fmt.Sprintf("; a comment\n[Route.R%d-%d]\nClientAccount = A%d\nKind = K%d\nClass = Long\nPool = P%d\n",
				i, k, i, kind, i)
		}
	}
	if rapid.Bool().Draw(t, label+"out") {
		pools += "[FailureDomain.D1]\nState = Out"
	}
	return routes, pools
}

// TestApplyEqualsParse checks that applying an edit row by row gives the same tables as parsing the new texts.
func TestApplyEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes, pools := drawTables(t, "before ")
		before, err := table.Parse(4, routes, pools)
		if err != nil {
			t.Skip("two routes have one key")
		}
		routes, pools = drawTables(t, "after ")
		after, err := table.Parse(5, routes, pools)
		if err != nil {
			t.Skip("two routes have one key")
		}
		applied, err := before.Apply(table.Diff("e", before, after))
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := table.Parse(5, applied.Text(table.Routes), applied.Text(table.Pools))
		if err != nil {
			t.Fatal(err)
		}
		for _, got := range []*table.Tables{applied, reparsed} {
			if !equalTables(got, after) {
				t.Fatalf("got %s\n%s\nwant %s\n%s", got.Text(table.Routes), got.Text(table.Pools), routes, pools)
			}
		}
	})
}

func equalTables(a, b *table.Tables) bool {
	return a.Digest() == b.Digest() && a.Text(table.Routes) == b.Text(table.Routes) &&
		reflect.DeepEqual(a.AllPools(), b.AllPools()) && reflect.DeepEqual(a.Domains(), b.Domains())
}

// FuzzParse checks that Parse does not panic on any text, and that the text of parsed tables parses to the same tables.
func FuzzParse(f *testing.F) {
	f.Add("[Route.A]\nClientAccount = X\nKind = K\nClass = Urgent\nPool = P\n", "[Pool.P]\nClientAccount = X\nShape = 2x8\n")
	f.Add("[", "=")
	f.Add("[Route.A]\nDeadline = 99999999h\n", "[Pool.P]\nShape = 0x0\nCount = -1\nFailureDomains = ,\n")
	f.Fuzz(func(t *testing.T, routes, pools string) {
		parsed, err := table.Parse(1, routes, pools)
		if err != nil {
			return
		}
		reparsed, err := table.Parse(1, parsed.Text(table.Routes), parsed.Text(table.Pools))
		if err != nil {
			t.Fatalf("text of parsed tables was rejected: %v", err)
		}
		if reparsed.Digest() != parsed.Digest() {
			t.Fatal("parsing the text of parsed tables gave different tables")
		}
	})
}
