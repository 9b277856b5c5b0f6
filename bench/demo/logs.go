package demo

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 4 << 20

// ScanLogs returns the lines that report a violated invariant, a panic, a fatal
// runtime error or a data race in the *.log files of a folder, and read errors.
func ScanLogs(dir string) []string {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return []string{err.Error()}
	}
	var findings []string
	for _, file := range files {
		findings = append(findings, scanLog(file)...)
	}
	return findings
}

func scanLog(file string) []string {
	f, err := os.Open(file)
	if err != nil {
		return []string{err.Error()}
	}
	defer f.Close()
	var findings []string
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		line := sc.Text()
		if strings.Contains(line, "invariant violated") || strings.Contains(line, "http: panic serving") || strings.HasPrefix(line, "panic:") ||
			strings.HasPrefix(line, "fatal error:") || strings.HasPrefix(line, "WARNING: DATA RACE") {
			findings = append(findings, fmt.Sprintf("%s: %s", filepath.Base(file), line))
		}
	}
	if err := sc.Err(); err != nil {
		findings = append(findings, fmt.Sprintf("%s: %v", filepath.Base(file), err))
	}
	return findings
}
