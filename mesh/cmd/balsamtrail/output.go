package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note/strictjson"
)

// print writes v as JSON or the table that rows fills in, depending on --output.
func (e *env) print(v any, rows func(t *table)) error {
	if e.Output == "json" {
		raw, err := strictjson.MarshalIndent(v)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(e.stdout, "%s\n", raw)
		return err
	}
	t := &table{w: tabwriter.NewWriter(e.stdout, 0, 4, 2, ' ', 0)}
	rows(t)
	return t.w.Flush()
}

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

// row writes one row. Write errors are returned by Flush.
func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = io.WriteString(t.w, "\t")
		}
		_, _ = fmt.Fprint(t.w, c)
	}
	_, _ = io.WriteString(t.w, "\n")
}

// formatTime formats a time in UTC; the zero time becomes a dash.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

// formatShare formats a share as a percentage with at most two decimals.
func formatShare(s model.Share) string {
	text := strconv.FormatFloat(float64(s)/float64(model.ShareAll)*100, 'f', 2, 64)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".") + "%"
}

// orDash returns s, or a dash if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
