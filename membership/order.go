package membership

import "cmp"

// rank orders the states of one sequence number: a later one replaces an earlier one.
func rank(s State) int {
	switch s {
	case Suspect:
		return 1
	case Leaving:
		return 2
	case Dead:
		return 3
	default:
		return 0
	}
}

// supersedes reports whether the claim a about a member replaces the claim b. The order is total (incarnation,
// then sequence number, then state), so that views converge in whatever order claims arrive. Only the member itself
// raises its sequence number.
func supersedes(a, b Member) bool {
	if a.Incarnation.Token != b.Incarnation.Token {
		return a.Incarnation.Newer(b.Incarnation)
	}
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(rank(a.State), rank(b.State))) > 0
}
