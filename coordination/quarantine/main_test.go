package quarantine

import (
	"testing"

	"github.com/doorvalve/doorvalve/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, "300") }
