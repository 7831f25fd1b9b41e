// Package health detects failing servers of one service from real requests,
// and decides on their ejection and reinstatement.
package health
