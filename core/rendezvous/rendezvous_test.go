package rendezvous

import (
	"fmt"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"
)

func nodes(count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("vm-%d", i))
	}
	return all
}

// rank returns the nodes ordered by their weight for a key, the highest first.
func rank[Node ~string](key string, nodes []Node) []Node {
	ranked := append([]Node{}, nodes...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weigh(key, string(ranked[i])), weigh(key, string(ranked[j]))
		return a > b || a == b && ranked[i] < ranked[j]
	})
	return ranked
}

// TestAmong checks that Pick returns the node that ranks first, and that Among returns true for exactly the 64 nodes
// that rank first.
func TestAmong(t *testing.T) {
	c := qt.New(t)
	all := nodes(88)
	for k := range 50 {
		key := fmt.Sprintf("endpoint-%d", k)
		ranked := rank(key, all)
		first, _ := Pick(key, all)
		c.Assert(ranked[0], qt.Equals, first)
		for position, node := range ranked {
			c.Assert(Among(key, all, node, 64), qt.Equals, position < 64)
		}
	}
}

// TestLeavingNodeMovesItsKeysOnly checks that a key stays on its node when another node leaves.
func TestLeavingNodeMovesItsKeysOnly(t *testing.T) {
	c := qt.New(t)
	all := nodes(9)
	for k := range 200 {
		key := fmt.Sprint(k)
		before, _ := Pick(key, all)
		after, _ := Pick(key, all[1:])
		if before != all[0] {
			c.Assert(after, qt.Equals, before)
		}
	}
}
