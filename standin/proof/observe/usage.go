package observe

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the unit of the CPU times in /proc, which is fixed on
// Linux.
const ticksPerSecond = 100

// Metric returns the value of a metric without labels, or 0 if it is missing.
func Metric(text []byte, name string) float64 {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			number, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return number
		}
	}
	return 0
}

// ProcessUsage returns the CPU time and the resident memory in bytes of a
// process, as /proc reports them.
func ProcessUsage(pid int) (time.Duration, int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, eris.Wrap(err, "read the usage of a process")
	}
	// The name of the program, in parentheses, may contain spaces.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return 0, 0, eris.Errorf("the usage of process %d has %d fields", pid, len(fields))
	}
	user, _ := strconv.ParseInt(fields[userTime], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTime], 10, 64)
	pages, _ := strconv.ParseInt(fields[residentPages], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, pages * int64(os.Getpagesize()), nil
}
