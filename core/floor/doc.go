// Package floor hands out the ejection permits of one service so that
// ejection never takes its healthy capacity below the floor.
//
// Model: one Steward for each service grants permits; each owner of servers
// keeps a Holder. The owner sends a Report each second, and at once when it
// has a new wish, and the steward answers with a Reply. Both belong to the
// control goroutine of their instance and exchange values only, so they do
// not depend on the encoding of messages.
//
// The rule: a permit is granted only while the usable servers reported within
// Life, less the permits outstanding and one, are at least the floor. A permit
// lasts Life and is renewed by each report that still wishes for it. The
// steward counts its life from the receipt of the report and the owner from
// the sending, so that the steward never counts a permit as ended that is in
// use. If the budget does not suffice for all wishes, the worst servers get
// the permits: a server that is less bad is not renewed, and its owner gives
// the permit back at once.
//
// Guarantees, if clocks of different instances run at the same rate, the
// lease of a steward ends before another one becomes steward, and no report is
// accepted later than Life after it was sent: the servers ejected under valid
// permits leave the floor among the servers that were usable when they were
// counted. This holds while messages are lost, delayed and reordered, while
// servers change their owner, and while stewards pause and resume. A new
// steward grants nothing for one Life, since it does not know the permits of
// the one before. An older report that arrives after a newer one is ignored.
// An owner counts a server only after Settle, so that two owners never count
// the same one.
//
// Not promised: a server that dies after it was counted may take the service
// below the floor until permits expire, at most Life after its owner reports
// it. Nothing is ejected while the steward cannot be reached.
package floor
