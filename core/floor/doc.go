// Package floor grants the ejection permits of one service, so that ejection
// never takes its usable capacity below the floor: the configured minimum number
// of usable servers that are not ejected.
//
// Model: one Steward for each service grants permits; each owner of servers has
// a Holder. The owner sends a Report each second, and at once when its ejection
// requests change, and the steward returns a Reply. Both are used only by the
// control goroutine of their instance and exchange values only, so they do not
// depend on the encoding of messages.
//
// The rule: a permit is granted only if the usable servers in reports of the
// last PermitTTL, minus the outstanding permits and one, are at least the floor.
// A permit is valid for PermitTTL and is renewed by each report that requests
// it. The steward counts this time from the receipt of the report and the owner
// from its sending, so that a permit expires at its owner before it expires at
// the steward. If there are more requests than permits, the servers with the
// highest severity get them: the permit of a server with lower severity is not
// renewed, and its owner releases it at once.
//
// Guarantees, if clocks of different instances run at the same rate, the lease
// of a steward ends before another instance becomes the steward, and no report
// is accepted later than PermitTTL after it was sent: among the servers that
// were usable when they were counted, at least the floor is not ejected under
// valid permits. This holds while messages are lost, delayed and reordered,
// while servers change their owner, and while stewards pause and resume. A new
// steward grants nothing for one PermitTTL, since it does not know the permits
// of the previous steward. An older report that arrives after a newer one is
// ignored. An owner counts a server only after MinOwnedTime, so that two owners
// never count the same server.
//
// Not promised: a server that dies after it was counted may take the service
// below the floor until permits expire, at most PermitTTL after its owner
// reports it. Nothing is ejected while the steward cannot be reached.
package floor
