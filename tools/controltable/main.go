// Command controltable turns the log lines of a fleet of jay-gateway processes into a table
// of what control costs, one column a role:
//
//	controltable [FILE ...]
//
// It reads the lines "Control load", "Configuration in force" and "Started" wherever they
// stand in a line, from the files or the standard input.
package main

import (
	"fmt"
	"os"
)

func main() {
	report := newReport()
	if err := readAll(report, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(report.markdown())
}

func readAll(report *report, files []string) error {
	if len(files) == 0 {
		return report.read(os.Stdin)
	}
	for _, name := range files {
		if err := readFile(report, name); err != nil {
			return err
		}
	}
	return nil
}

func readFile(report *report, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return report.read(file)
}
