// Package rendezvous implements rendezvous hashing: it assigns each key to the node with the highest hash weight. If a
// node joins or leaves, only the keys of that node move.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Pick returns the node with the highest weight for a key, or false if there are no nodes.
func Pick[Node ~string](key string, nodes []Node) (Node, bool) {
	var best Node
	var bestWeight uint64
	for i, node := range nodes {
		weight := weigh(key, string(node))
		if i == 0 || weight > bestWeight || weight == bestWeight && node < best {
			best, bestWeight = node, weight
		}
	}
	return best, len(nodes) > 0
}

// weigh returns the weight of a node for a key.
func weigh(key, node string) uint64 {
	return xxhash.Sum64String(key + "\x00" + node)
}

// Among ranks the nodes by their weight for a key and reports whether self has one of the highest ranks. The parameter
// count is the number of ranks that qualify.
func Among[Node ~string](key string, nodes []Node, self Node, count int) bool {
	selfWeight := weigh(key, string(self))
	ahead := 0
	for _, node := range nodes {
		weight := weigh(key, string(node))
		if weight > selfWeight || weight == selfWeight && node < self {
			ahead++
		}
	}
	return ahead < count
}
