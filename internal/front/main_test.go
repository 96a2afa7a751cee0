package front

import (
	"testing"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }
