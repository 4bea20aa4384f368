package loadreport

import (
	"os"
	"testing"

	"thymebend/internal/lab/random"
)

func TestMain(m *testing.M) { os.Exit(random.Main(m)) }
