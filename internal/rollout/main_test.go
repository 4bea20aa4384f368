package rollout

import (
	"os"
	"testing"

	"thymebend/internal/lab/draws"
)

func TestMain(m *testing.M) { os.Exit(draws.Main(m)) }
