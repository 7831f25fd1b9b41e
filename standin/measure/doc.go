// Package measure produces the figures of the capacity page: the cost of
// control traffic and control state on an idle instance, the latency that the
// fleet adds to a request, the requests that a core can serve, and the time
// until a new configuration or a takeover is complete.
//
// Each section starts its own fleets, one at a time, and returns tables and
// plots. Run writes the tables to one Markdown file and the plots to PNG files
// in the same directory.
package measure
