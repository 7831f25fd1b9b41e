// Package floor hands out ejection permits of one service so that ejection
// never takes its healthy capacity below the floor.
package floor
