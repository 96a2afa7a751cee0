package capacity

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var (
	mode     = flag.String("slopes", "", `"write" stores the measured series and renders the page, "page" only renders it`)
	imported = flag.String("import", "", "output of the benchmarks of membership or rollout to store, with -slopes=write")
)

var (
	slopesPath = filepath.Join("..", "..", "bench", "slopes.json")
	pagePath   = filepath.Join("..", "..", "docs", "CAPACITY.md")
)

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if code == 0 && *mode != "" {
		if err := update(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// update stores the measured series and renders the page.
func update() error {
	f, err := Read(slopesPath)
	if os.IsNotExist(err) || *mode == "write" && err != nil {
		f = &File{}
	} else if err != nil {
		return err
	}
	if *imported != "" {
		text, err := os.ReadFile(*imported)
		if err != nil {
			return err
		}
		measured = append(measured, importBench(string(text))...)
	}
	if *mode == "write" {
		for _, s := range measured {
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
