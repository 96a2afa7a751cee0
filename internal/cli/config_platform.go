package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/routing"
	"github.com/azurehatch/azurehatch/platform"
)

// errUsage means that the flags don't fit together.
var errUsage = errors.New("--against needs the JSON file of a platform")

// isPlatformConfig reports whether a file is the configuration of a platform, which is JSON.
func isPlatformConfig(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

// placedFinding is a finding with its place in the file.
type placedFinding struct {
	routing.Finding
	Line   int `json:"line"`
	Column int `json:"column"`
}

// checkPlatformConfig checks the configuration of a platform and compares it with the one in
// the file against, if that is not empty.
func checkPlatformConfig(out io.Writer, output string, text []byte, against string) error {
	file, err := platform.ParseConfigFile(text)
	if err != nil {
		return err
	}
	findings, faults := []placedFinding{}, 0
	for _, f := range routing.Check(file.Config) {
		line, column := file.Position(f.List, f.Index)
		findings = append(findings, placedFinding{Finding: f, Line: line, Column: column})
		if f.Severity == routing.Fault {
			faults++
		}
	}
	changes := []routing.Change{}
	if against != "" {
		inForce, err := readPlatformConfig(against)
		if err != nil {
			return err
		}
		if file.Version <= inForce.Version {
			faults++
			findings = append(findings, placedFinding{Finding: routing.Finding{
				Severity: routing.Fault, List: "version", Text: fmt.Sprintf("version %d is not above %d, which is in force", file.Version, inForce.Version),
			}})
		}
		changes = append(changes, routing.Diff(inForce.Config, file.Config)...)
	}
	err = printAs(out, output, map[string]any{"valid": faults == 0, "findings": findings, "changes": changes}, func() {
		for _, f := range findings {
			fmt.Fprintf(out, "%d:%d: %s: %s %q: %s\n", f.Line, f.Column, f.Severity, f.List, f.Name, f.Text)
		}
		for _, c := range changes {
			fmt.Fprintf(out, "%s %s %q\n", c.Op, c.List, c.Name)
			for _, field := range c.Fields {
				fmt.Fprintf(out, "  %s\n", field)
			}
		}
		if faults == 0 {
			fmt.Fprintln(out, "valid")
		}
	})
	if err == nil && faults > 0 {
		err = errors.Errorf("errors in the configuration: %d", faults)
	}
	return err
}

func readPlatformConfig(file string) (*platform.ConfigFile, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c, err := platform.ParseConfigFile(text)
	return c, errors.WithMessage(err, file)
}
