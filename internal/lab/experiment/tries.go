package experiment

import (
	"bufio"
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"thymebend/internal/lab/load"
	"thymebend/internal/lab/requestrecord"
)

// attemptsFile is the name of the file with every attempt of a run, one per line.
const attemptsFile = "tries.tsv"

// attemptColumns returns the header of attemptsFile.
func attemptColumns() []string {
	return []string{"id", "request", "try", "class", "target", "due_us", "sent_us", "ended_us", "status",
		"answers", "patience_ms",
		"body_bytes", "cause"}
}

// writeAttempts writes the clients' record of attempts as tab-separated text. Times count from the start of the load.
// An attempt that was never sent completely has sent_us -1.
func writeAttempts(path string, attempts []requestrecord.Attempt, loadStart time.Duration) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	out := csv.NewWriter(file)
	out.Comma = '\t'
	_ = out.Write(attemptColumns())
	for _, t := range attempts {
		sent := int64(-1)
		if t.FullyWritten {
			sent = (t.Sent - loadStart).Microseconds()
		}
		_ = out.Write([]string{t.ID, strconv.Itoa(t.Request), strconv.Itoa(t.Number), t.Class, t.Target,
			fmt.Sprint((t.Due - loadStart).Microseconds()), fmt.Sprint(sent), fmt.Sprint((t.Ended - loadStart).Microseconds()),
			strconv.Itoa(t.Status), strconv.Itoa(t.Answers), fmt.Sprint(t.ClientTimeout.Milliseconds()),
			strconv.Itoa(t.Body), t.Cause})
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return err
	}
	return file.Close()
}

// Trace converts the attempts of the run in dir to a trace of requests, each at the due time of its first attempt,
// and writes the trace to the writer to. It returns the number of requests.
func Trace(dir string, to io.Writer) (requests int, err error) {
	path := filepath.Join(dir, attemptsFile)
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	in := csv.NewReader(bufio.NewReader(file))
	in.Comma, in.FieldsPerRecord = '\t', len(attemptColumns())
	var classes []load.Class
	var arrivals []load.Arrival
	for n := 1; ; n++ {
		row, err := in.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		if n == 1 || row[2] != "0" {
			continue
		}
		due, err1 := strconv.ParseInt(row[5], 10, 64)
		timeout, err2 := strconv.ParseInt(row[10], 10, 64)
		body, err3 := strconv.Atoi(row[11])
		if err1 != nil || err2 != nil || err3 != nil {
			return 0, fmt.Errorf("%s:%d: due_us, patience_ms or body_bytes is not an integer", path, n)
		}
		class := -1
		for i, c := range classes {
			if c.Name == row[3] {
				class = i
			}
		}
		if class < 0 {
			class = len(classes)
			classes = append(classes, load.Class{Name: row[3]})
		}
		arrivals = append(arrivals, load.Arrival{At: time.Duration(due) * time.Microsecond, Class: class,
			ClientTimeout: time.Duration(timeout) * time.Millisecond, Body: body})
	}
	// The file is in the order of sending, which may differ from the order of due times by microseconds.
	slices.SortStableFunc(arrivals, func(a, b load.Arrival) int { return cmp.Compare(a.At, b.At) })
	return len(arrivals), load.WriteTrace(to, classes, load.FromArrivals(arrivals))
}
