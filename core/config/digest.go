package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"slices"

	"galenaridge/core/fleet"
)

// canonicalFormat is the first line of the canonical form. Its number must change with
// the form, so that digests over different forms always differ.
const canonicalFormat = "galenaridge configuration 1\n"

// DigestOf returns the SHA-256 digest over the canonical form of a document. The form has
// all fields but Digest, with lists sorted, so the digest does not depend on the encoding
// or on the order of entries.
func DigestOf(d Document) fleet.Digest {
	h := sha256.New()
	writeCanonical(h, d)
	return fleet.Digest(hex.EncodeToString(h.Sum(nil)))
}

// writeCanonical writes the canonical form, one line for each entry. Strings are quoted,
// so that no string can end its line. Durations are in nanoseconds. Writes to w must not
// fail.
func writeCanonical(w io.Writer, d Document) {
	_, _ = io.WriteString(w, canonicalFormat)
	_, _ = fmt.Fprintf(w, "version %d\ndeployment %q\n", d.Version, d.Deployment)
	for _, domain := range slices.Sorted(slices.Values(d.Domains)) {
		_, _ = fmt.Fprintf(w, "domain %q\n", domain)
	}
	services := slices.SortedFunc(slices.Values(d.Services), func(a, b Service) int {
		return cmp.Compare(a.Name, b.Name)
	})
	for _, s := range services {
		writeService(w, s)
	}
	customers := slices.SortedFunc(slices.Values(d.Customers), func(a, b Customer) int {
		return cmp.Compare(a.Name, b.Name)
	})
	for _, t := range customers {
		_, _ = fmt.Fprintf(w, "tenant %q class %q weight %d\n", t.Name, t.Class, t.Weight)
	}
	l := d.Limits
	_, _ = fmt.Fprintf(w, "limits body %d header %d assignment %d token %d\n",
		l.MaxBodyBytes, l.MaxHeaderBytes, int64(l.AssignmentTTL), int64(l.TokenTTL))
}

func writeService(w io.Writer, s Service) {
	_, _ = fmt.Fprintf(w, "service %q slots %d conns %d floor %d deadline %d detect %s\n",
		s.Name, s.Slots, s.Conns, s.Floor, int64(s.Deadline), s.Detect)
	routes := slices.SortedFunc(slices.Values(s.Routes), func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Method, b.Method))
	})
	for _, r := range routes {
		_, _ = fmt.Fprintf(w, "route %q %q protected %t\n", r.Method, r.Path, r.Protected)
	}
}
