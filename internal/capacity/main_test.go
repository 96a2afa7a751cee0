package capacity

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var (
	slopesMode = flag.String("slopes", "", `"write" stores the measured series and renders the page, "page" only renders it`)
	importPath = flag.String("import", "", "output of the benchmarks of membership or rollout to store, with -slopes=write")
)

var (
	slopesPath = filepath.Join("..", "..", "bench", "slopes.json")
	pagePath   = filepath.Join("..", "..", "docs", "CAPACITY.md")
)

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if code == 0 && *slopesMode != "" {
		if err := update(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// update stores the measured and imported series if the mode is "write", and renders
// the page.
func update() error {
	f, err := Read(slopesPath)
	if os.IsNotExist(err) || *slopesMode == "write" && err != nil {
		f = &File{}
	} else if err != nil {
		return err
	}
	if *importPath != "" {
		text, err := os.ReadFile(*importPath)
		if err != nil {
			return err
		}
		measuredSeries = append(measuredSeries, importSeries(string(text))...)
	}
	if *slopesMode == "write" {
		for _, s := range measuredSeries {
			if err := f.Set(s); err != nil {
				return err
			}
		}
		if err := f.Write(slopesPath); err != nil {
			return err
		}
	}
	page, err := Render(f)
	if err != nil {
		return err
	}
	return os.WriteFile(pagePath, page, 0o644)
}
