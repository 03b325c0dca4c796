package membership

import "cmp"

// rank orders states within one sequence number: a state of higher rank replaces one of lower rank.
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

// supersedes reports whether the update a of a member replaces the update b. Updates are totally ordered by
// incarnation, then sequence number, then state, so views converge whatever the order of arrival. Only the member
// itself raises its sequence number.
func supersedes(a, b Member) bool {
	if a.Incarnation.Token != b.Incarnation.Token {
		return a.Incarnation.Newer(b.Incarnation)
	}
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(rank(a.State), rank(b.State))) > 0
}
