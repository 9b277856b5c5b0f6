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
	// Failed are unknown outcomes, errors and lost connections.
	Failed int64 `json:"failed"`
	Late   int64 `json:"late"`
	Wrong  int64 `json:"wrong"`
	// P99 is the greatest 99th percentile of the flows of the kind, in milliseconds.
	P99 float64 `json:"p99_ms"`
}

// kindRows sums a report by kind, in the order of the first flow of each kind.
func kindRows(system string, r *load.Report) []KindRow {
	var out []KindRow
	at := map[string]int{}
	for _, f := range r.Flows() {
		i, ok := at[f.Kind]
		if !ok {
			i = len(out)
			at[f.Kind] = i
			out = append(out, KindRow{System: system, Kind: f.Kind})
		}
		k := &out[i]
		k.Sent += f.Sent
		k.OK += f.Outcomes[load.OutcomeOK]
		k.NotRun += f.Outcomes[load.OutcomeNotRun]
		k.Failed += f.Outcomes[load.OutcomeFailed] + f.Outcomes[load.OutcomeUnknown] + f.Outcomes[load.OutcomeLost]
		k.Late += f.Outcomes[load.OutcomeLate]
		k.Wrong += f.Outcomes[load.OutcomeWrong]
		k.P99 = max(k.P99, f.P99)
	}
	return out
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
