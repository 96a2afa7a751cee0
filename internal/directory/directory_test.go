package directory

import (
	"testing"

	"github.com/azurehatch/azurehatch/internal/config"
)

// Guards against a service with a higher priority that engines serve last: the configuration
// serves higher numbers first, engines lower ones.
func TestHigherPriorityGoesFirstAtEngines(t *testing.T) {
	c, err := config.Parse("test.toml", []byte(`
[service.urgent]
kind = "model"
models = ["m-urgent"]
priority = 2

[service.usual]
kind = "model"
models = ["m-usual"]
`))
	if err != nil {
		t.Fatal(err)
	}
	var d Directory
	d.SetConfig(c)
	urgent, _ := d.Service("urgent")
	usual, _ := d.Service("usual")
	if urgent.Priority >= usual.Priority || usual.Priority != 0 {
		t.Errorf("engines get priority %d for the urgent service and %d for the usual one, lower ones go first",
			urgent.Priority, usual.Priority)
	}
}
