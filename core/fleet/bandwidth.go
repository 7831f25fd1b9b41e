package fleet

import "time"

// Bandwidth is the speed of a network link in bytes per second; zero means that it is not
// a limit.
type Bandwidth float64

// Mbps returns the bandwidth of a link in megabits per second.
func Mbps(megabits float64) Bandwidth { return Bandwidth(megabits * 1e6 / 8) }

// TransferTime returns the time that a number of bytes needs on the link.
func (b Bandwidth) TransferTime(bytes int) time.Duration {
	if b <= 0 || bytes <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(b) * float64(time.Second))
}
