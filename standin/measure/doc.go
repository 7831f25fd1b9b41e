// Package measure produces the figures of the capacity page: what control
// costs an idle instance, what the fleet adds to a request, and how long
// changes take.
//
// Each section runs fleets of its own, one at a time, and returns tables and
// plots. Run writes them to one Markdown file and PNG files beside it.
package measure
