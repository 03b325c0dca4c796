package forward

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"teaselbank.example/teaselbank/crashguard"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
)

// CrashGuard tracks the requests that crash targets.
type CrashGuard interface {
	// Refused reports whether a request must not be sent because it crashed several targets.
	Refused(f crashguard.Fingerprint) bool
	// Served records that a target replied to the request. It must not block.
	Served(f crashguard.Fingerprint)
	// Crashed records the targets that failed while they had the request in flight; no target replied to it. It must
	// not block.
	Crashed(f crashguard.Fingerprint, targets []ident.TargetID)
}

// fingerprint hashes method, host, path with query, and body. It leaves out the request ID, which differs between the
// attempts of one caller's request, and the header.
func fingerprint(r *leafconn.Request) crashguard.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return crashguard.Fingerprint(strconv.FormatUint(h.Sum64(), 16))
}

// reportToGuard reports the request as served if any target replied to it. If none did and the request failed or
// reached its deadline, it reports the targets that broke the connection or had not yet replied.
func (s *Service) reportToGuard(j *job, f crashguard.Fingerprint, reason endReason) {
	if s.Guard == nil {
		return
	}
	var failed []ident.TargetID
	for i := range j.units {
		u := &j.units[i]
		if u.reply != nil || u.failure != nil {
			s.Guard.Served(f)
			return
		}
		failed = append(failed, u.broken...)
		for _, a := range u.inFlight {
			failed = append(failed, a.endpoint.Target.ID)
		}
	}
	if len(failed) > 0 && (reason == endFailed || reason == endDeadline) {
		s.Guard.Crashed(f, failed)
	}
}
