package config

import (
	"fmt"

	"teaselbank.example/teaselbank/bundle"
)

// Rule judges a verified bundle against the one in force. An empty verdict leaves the decision to the next rule.
type Rule struct {
	Name  string
	Judge func(cur, offered *bundle.Verified) (Verdict, string)
}

// Rules are the rules of acceptance in the order in which they are asked. A bundle that none of them stops is
// accepted.
var Rules = []Rule{
	{"never_revert", neverRevert},
	{"one_content_per_version", oneContent},
	{"keyring_never_reverts", keyringExtends},
}

// Judge asks the rules.
func Judge(cur, offered *bundle.Verified) (Verdict, string) {
	for _, rule := range Rules {
		if verdict, reason := rule.Judge(cur, offered); verdict != "" {
			return verdict, reason
		}
	}
	return Accepted, ""
}

func neverRevert(cur, offered *bundle.Verified) (Verdict, string) {
	have, got := cur.Bundle.Version, offered.Bundle.Version
	if got >= have {
		return "", ""
	}
	return Older, fmt.Sprintf("version %d is lower than %d in force", got, have)
}

func oneContent(cur, offered *bundle.Verified) (Verdict, string) {
	switch {
	case offered.Bundle.Version != cur.Bundle.Version:
		return "", ""
	case offered.Digest == cur.Digest:
		return Same, ""
	default:
		return Conflict, fmt.Sprintf("version %d has digest %s in force, offered %s", cur.Bundle.Version,
			cur.Digest.Short(), offered.Digest.Short())
	}
}

// keyringExtends refuses a bundle whose chain of trust does not contain the keyring in force: a retired signer could
// otherwise leave the rotations out and sign a higher version.
func keyringExtends(cur, offered *bundle.Verified) (Verdict, string) {
	want := cur.Keyring()
	for _, ring := range offered.Keyrings {
		if ring.Equal(want) {
			return "", ""
		}
	}
	return Refused, fmt.Sprintf("rotations: keyring epoch %d does not follow epoch %d in force", offered.Keyring().Epoch, want.Epoch)
}
