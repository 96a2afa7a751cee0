package docscheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/settings"
)

// problemKinds returns all problem types. It parses the source of package problem,
// which exports no list of them.
func problemKinds(t *testing.T) []problem.Kind {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "problem", "problem.go"), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var kinds []problem.Kind
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); ok && typ.Name == "Kind" {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			kinds = append(kinds, problem.Kind(text))
		}
		return true
	})
	if len(kinds) < 18 {
		t.Fatalf("found %d problem types, want at least 18", len(kinds))
	}
	return kinds
}

var refusalRow = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (\\d+) \\| ")

// checkRefusals compares the table of refusals with the problem types and their
// status codes.
func checkRefusals(page string, kinds []problem.Kind) (faults []string) {
	rows := make(map[problem.Kind]string)
	for _, m := range refusalRow.FindAllStringSubmatch(page, -1) {
		rows[problem.Kind(m[1])] = m[2]
		if !slices.Contains(kinds, problem.Kind(m[1])) {
			faults = append(faults, m[1]+" does not exist")
		}
	}
	for _, k := range kinds {
		if want := strconv.Itoa(problem.New(k, "").Status()); rows[k] != want {
			faults = append(faults, fmt.Sprintf("%s has status %s, the page says %q", k, want, rows[k]))
		}
	}
	return faults
}

// Guards against refusals that are missing from docs/refusals.md or have a wrong
// status there.
func TestRefusals(t *testing.T) {
	page, kinds := readFile(t, "docs", "refusals.md"), problemKinds(t)
	for _, f := range checkRefusals(page, kinds) {
		t.Error(f)
	}
	for name, change := range map[string][2]string{
		"type":   {"| `poison` | 422", "| `poisoned` | 422"},
		"status": {"| `poison` | 422", "| `poison` | 423"},
	} {
		if broken := strings.Replace(page, change[0], change[1], 1); broken == page ||
			len(checkRefusals(broken, kinds)) == 0 {
			t.Errorf("page with a wrong %s was accepted", name)
		}
	}
}

var assignment = regexp.MustCompile(`^(\w+) = (.*)$`)

// settingsTables converts the output of "settings print" to the tables that
// docs/settings.md must contain.
func settingsTables(printed string) string {
	var out strings.Builder
	var comment []string
	for line := range strings.SplitSeq(printed, "\n") {
		if text, ok := strings.CutPrefix(line, "# "); ok {
			comment = append(comment, text)
			continue
		}
		meaning := strings.Join(comment, " ")
		if strings.HasPrefix(line, "[") {
			fmt.Fprintf(&out, "\n## %s\n\n%s\n\n| key | default | meaning |\n| --- | --- | --- |\n",
				strings.Trim(line, "[]"), meaning)
		} else if m := assignment.FindStringSubmatch(line); m != nil {
			fmt.Fprintf(&out, "| `%s` | `%s` | %s |\n", m[1], m[2], meaning)
		}
		comment = nil
	}
	return out.String()
}

// Guards against settings that are not documented, and against outdated
// descriptions and defaults.
func TestSettings(t *testing.T) {
	printed, err := settings.Default().Format()
	if err != nil {
		t.Fatal(err)
	}
	page, want := readFile(t, "docs", "settings.md"), settingsTables(string(printed))
	if !strings.Contains(page, want) {
		t.Errorf("docs/settings.md differs from \"settings print\"; its tables must be:\n%s", want)
	}
	if n := strings.Count(want, "| `"); n < 25 {
		t.Errorf("found %d keys in \"settings print\", want at least 25", n)
	}
	if settingsTables(string(printed)+"# New.\nnew = 1\n") == want {
		t.Error("an added key does not change the tables")
	}
}
