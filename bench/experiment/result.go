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

// Result is what an experiment measured.
type Result interface {
	// WriteTable writes the figures for people.
	WriteTable(w io.Writer) error
}

// Names of the two sides that are compared.
const (
	Product  = "balsamtrail"
	Baseline = "baseline"
)

// WriteJSON writes a result with its date to a file.
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

// KindRow sums the requests of one kind and side.
type KindRow struct {
	System string `json:"system"`
	Kind   string `json:"kind"`
	Sent   int64  `json:"sent"`
	OK     int64  `json:"ok"`
	NotRun int64  `json:"not_run"`
	// Failed are unknown outcomes, errors and lost connections; Lost are those of
	// them whose caller had no connection to its entry node.
	Failed int64 `json:"failed"`
	Lost   int64 `json:"lost"`
	Late   int64 `json:"late"`
	Wrong  int64 `json:"wrong"`
	// P99 is the greatest 99th percentile of the flows of the kind over the
	// whole report, in milliseconds.
	P99 float64 `json:"p99_ms"`
}

// allSeconds is a bound above the seconds of any run.
const untilEnd = 1 << 30

// kindRows sums the seconds [from, to) of flows by kind, in the order of the
// first flow of each kind.
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
	k.Failed += o[load.OutcomeFailed] + o[load.OutcomeUnknown] + o[load.OutcomeLost]
	k.Lost += o[load.OutcomeLost]
	k.Late += o[load.OutcomeLate]
	k.Wrong += o[load.OutcomeWrong]
}

// table writes aligned columns.
type table struct{ tw *tabwriter.Writer }

func newTable(w io.Writer, header string) table {
	t := table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	_, _ = fmt.Fprintln(t.tw, "\n"+header)
	return t
}

func (t table) row(format string, args ...any) { _, _ = fmt.Fprintf(t.tw, format+"\n", args...) }

func (t table) flush() error { return t.tw.Flush() }
