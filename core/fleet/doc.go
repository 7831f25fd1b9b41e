// Package fleet holds the identifiers, units and enums that all other
// packages share. It has no state and no behaviour beyond comparison and
// formatting.
package fleet
