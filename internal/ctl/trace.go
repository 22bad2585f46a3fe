package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// logTime matches the severity, day and time of day of a line written by klog.
var logTime = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6})`)

// tracedLine is a log line of the request. at is its day and time, "" if it has
// none; file is the log that it is from.
type tracedLine struct {
	at, file, text string
}

func (a *app) trace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST [FILE...]",
		Short: "Print the lines about one request from the logs of many processes, in order of time",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := traceFiles(args[0], args[1:], cmd.InOrStdin())
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return eris.Errorf("no log line of request %s found", args[0])
			}
			for _, line := range lines {
				_, _ = fmt.Fprintf(a.out, "%s\t%s\n", line.file, line.text)
			}
			return nil
		},
	}
}

func traceFiles(request string, files []string, in io.Reader) ([]tracedLine, error) {
	if len(files) == 0 {
		return sortByTime(traceLog(request, "-", in))
	}
	var all []tracedLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := traceLog(request, name, file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return sortByTime(all, nil)
}

func sortByTime(lines []tracedLine, err error) ([]tracedLine, error) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	return lines, err
}

// traceLog returns the lines of a log with the request's id. It matches the quoted
// id, since one id may be a prefix of another.
func traceLog(request, name string, in io.Reader) ([]tracedLine, error) {
	var lines []tracedLine
	field := fmt.Sprintf("request=%q", request)
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, field) {
			continue
		}
		at := ""
		if found := logTime.FindStringSubmatch(text); found != nil {
			at = found[1]
		}
		lines = append(lines, tracedLine{at: at, file: name, text: text})
	}
	return lines, eris.Wrapf(scanner.Err(), "read %s", name)
}
