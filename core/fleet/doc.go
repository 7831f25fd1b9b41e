// Package fleet defines the identifiers, units and enums that all other packages share.
// It has no state of its own and no behaviour beyond comparison and formatting.
package fleet
