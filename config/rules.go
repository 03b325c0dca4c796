package config

import (
	"fmt"

	"teaselbank.example/teaselbank/bundle"
)

// Rule compares an offered, verified bundle with the one in force. Judge returns an empty verdict if the rule does not
// apply, and a verdict with a reason for operators otherwise.
type Rule struct {
	Name  string
	Judge func(cur, offered *bundle.Verified) (Verdict, string)
}

// Rules lists the acceptance rules in the order in which they are evaluated. The first verdict stands; a bundle for
// which all rules return an empty verdict is accepted.
var Rules = []Rule{
	{"never_revert", neverRevert},
	{"one_content_per_version", oneContent},
	{"keyring_never_reverts", keyringExtends},
}

// Judge evaluates Rules and returns the first verdict, or Accepted.
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
	return Older, fmt.Sprintf("offered version %d is lower than version %d in force", got, have)
}

func oneContent(cur, offered *bundle.Verified) (Verdict, string) {
	switch {
	case offered.Bundle.Version != cur.Bundle.Version:
		return "", ""
	case offered.Digest == cur.Digest:
		return Same, ""
	default:
		return Conflict, fmt.Sprintf("version %d is in force with digest %s but was offered with digest %s", cur.Bundle.Version,
			cur.Digest.Short(), offered.Digest.Short())
	}
}

// keyringExtends refuses a bundle whose chain of keyrings does not contain the keyring in force. Otherwise the signers
// of a retired keyring could leave out the rotation that retired it and sign a higher version.
func keyringExtends(cur, offered *bundle.Verified) (Verdict, string) {
	want := cur.Keyring()
	for _, ring := range offered.Keyrings {
		if ring.Equal(want) {
			return "", ""
		}
	}
	return Refused, fmt.Sprintf("rotations: keyring epoch %d does not follow epoch %d in force", offered.Keyring().Epoch, want.Epoch)
}
