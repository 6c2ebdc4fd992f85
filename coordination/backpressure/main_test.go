package backpressure

import (
	"testing"

	"github.com/doorvalve/doorvalve/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, "2000") }
