package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/settings"
)

type checkCmd struct {
	Files []string `arg:"" help:"JSON files that hold notes or settings." type:"existingfile"`
	Kind  string   `help:"Kind of the files: ${enum}. With auto, the keys in each file decide." enum:"auto,note,control,node" default:"auto"`
}

// Help implements kong.HelpProvider.
func (checkCmd) Help() string {
	return `Reports the first invalid field of each file and exits with code 1 if there is one. Settings that promise more
than they can keep are valid, but get a warning. It does not check a note against the accepted configuration;
diff does that.

Example:
  balsamtrail check examples/aare/*.json`
}

// checkResult is the result for one file. Error is empty if the file is valid.
type checkResult struct {
	File  string `json:"file"`
	Kind  string `json:"kind"`
	Error string `json:"error,omitempty"`
	// Warnings lists what valid settings promise and cannot keep.
	Warnings []string `json:"warnings,omitempty"`
}

var errCheck = errors.New("check failed")

// Run checks the files and prints one result for each.
func (c *checkCmd) Run(e *env) error {
	var results []checkResult
	failed := 0
	for _, f := range c.Files {
		kind, warnings, err := checkFile(f, c.Kind)
		r := checkResult{File: f, Kind: kind, Warnings: warnings}
		if err != nil {
			failed++
			r.Error = err.Error()
		}
		results = append(results, r)
	}
	err := e.print(results, func(t *table) {
		for _, r := range results {
			outcome := "ok"
			if r.Error != "" {
				outcome = r.Error
			}
			t.row(r.File, r.Kind, outcome)
			for _, w := range r.Warnings {
				t.row(r.File, r.Kind, "warning: "+w)
			}
		}
	})
	if err == nil && failed > 0 {
		err = eris.Wrapf(errCheck, "%d of %d files", failed, len(results))
	}
	return err
}

// checkFile parses the file at path and returns its kind, detected if kind is auto, and
// warnings.
func checkFile(path, kind string) (string, []string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return kind, nil, err
	}
	if kind == "auto" {
		kind = detectKind(data)
	}
	switch kind {
	case "control":
		var c settings.Control
		if c, err = settings.ParseControl(data); err == nil {
			return kind, c.Warnings(), nil
		}
	case "node":
		_, err = settings.ParseNode(data)
	default:
		_, err = note.ParseNote(data)
	}
	return kind, nil, err
}

// detectKind returns the kind of a file, judged by the keys that only one kind has.
func detectKind(data []byte) string {
	var keys map[string]json.RawMessage
	if json.Unmarshal(data, &keys) != nil {
		return "note"
	}
	has := func(key string) bool { _, ok := keys[key]; return ok }
	switch {
	case has("backend"):
		return "node"
	case has("host") || has("control_hosts"):
		return "control"
	default:
		return "note"
	}
}

type versionCmd struct{}

// Help implements kong.HelpProvider.
func (versionCmd) Help() string {
	return `Example:
  balsamtrail version`
}

// versionOutput is the JSON output of version.
type versionOutput struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Run prints the versions of balsamtrail and of the Go release that built it.
func (versionCmd) Run(e *env) error {
	v := versionOutput{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		v = versionOutput{Version: info.Main.Version, Go: info.GoVersion}
	}
	return e.print(v, func(t *table) { t.row(fmt.Sprintf("balsamtrail %s %s", v.Version, v.Go)) })
}
