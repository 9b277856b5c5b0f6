package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"balsamtrail.org/bench/load"
)

// Result holds the figures of an experiment.
type Result interface {
	// WriteTable writes the figures as tables for reading.
	WriteTable(w io.Writer) error
}

// The two sides that are compared, as named in the results.
const (
	Product  = "balsamtrail"
	Baseline = "baseline"
)

// WriteJSON writes a result and the current time to a file.
func WriteJSON(file string, r Result) error {
	b, err := json.MarshalIndent(struct {
		Date   time.Time `json:"date"`
		Result Result    `json:"result"`
	}{time.Now().UTC().Truncate(time.Second), r}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

// KindRow counts the requests of one kind and side by outcome.
type KindRow struct {
	System string `json:"system"`
	Kind   string `json:"kind"`
	Sent   int64  `json:"sent"`
	OK     int64  `json:"ok"`
	NotRun int64  `json:"not_run"`
	// Failed counts requests with an error, an unknown outcome or a lost connection;
	// Lost counts those of them whose caller had no connection to its entry node.
	Failed int64 `json:"failed"`
	Lost   int64 `json:"lost"`
	Late   int64 `json:"late"`
	Wrong  int64 `json:"wrong"`
	// P99 is the highest 99th percentile of latency among the flows of the kind, in
	// milliseconds and over the whole run.
	P99 float64 `json:"p99_ms"`
}

// untilEnd, as the end of a range of seconds, is later than the end of any run.
const untilEnd = 1 << 30

// kindRows sums the outcomes of the flows in seconds [from, to) by kind. Kinds are in
// the order of their first flow.
func kindRows(system string, flows []load.FlowReport, from, to int64) []KindRow {
	var out []KindRow
	index := map[string]int{}
	for _, f := range flows {
		i, ok := index[f.Kind]
		if !ok {
			i = len(out)
			index[f.Kind] = i
			out = append(out, KindRow{System: system, Kind: f.Kind})
		}
		out[i].P99 = max(out[i].P99, f.P99)
		for _, s := range f.Seconds {
			if s.Second >= from && s.Second < to {
				out[i].add(s.Outcomes)
			}
		}
	}
	return out
}

func (k *KindRow) add(o map[load.Outcome]int64) {
	for _, n := range o {
		k.Sent += n
	}
	k.OK += o[load.OutcomeOK]
	k.NotRun += o[load.OutcomeNotRun]
	k.Failed += o[load.OutcomeFailed] + o[load.OutcomeUnknown] + o[load.OutcomeNoConnection]
	k.Lost += o[load.OutcomeNoConnection]
	k.Late += o[load.OutcomeLate]
	k.Wrong += o[load.OutcomeWrong]
}

// table writes rows with aligned columns.
type table struct{ tw *tabwriter.Writer }

func newTable(w io.Writer, header string) table {
	t := table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	_, _ = fmt.Fprintln(t.tw, "\n"+header)
	return t
}

func (t table) row(format string, args ...any) { _, _ = fmt.Fprintf(t.tw, format+"\n", args...) }

func (t table) flush() error { return t.tw.Flush() }
