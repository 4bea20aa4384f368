// Command thymebend is the gateway. Without arguments it reads its configuration, serves requests, and exits
// when it receives SIGTERM or SIGINT. With arguments it queries a running gateway, see thymebend --help.
//
// Environment: LB_CONFIG names the configuration file; LB_LOG sets the level of the log on standard error
// (debug, info, warn, error; default info). See internal/config for the other variables.
package main

import (
	"math"
	"os"
	"runtime"
	"syscall"

	"github.com/rs/zerolog"

	"thymebend/internal/config"
	"thymebend/internal/gateway"
	"thymebend/internal/loop"
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
	}
	log := newLogger(os.Getenv("LB_LOG"))
	if err := serve(log); err != nil {
		log.Error().Err(err).Msg("thymebend cannot run")
		os.Exit(1)
	}
}

// logTimeFormat is RFC 3339 with milliseconds: within one second, the order of events in several processes matters.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// newLogger returns a logger that writes to standard error. Its level is info if level is empty or unknown.
func newLogger(level string) zerolog.Logger {
	zerolog.TimeFieldFormat = logTimeFormat
	log := zerolog.New(os.Stderr).With().Timestamp().Logger().Level(zerolog.InfoLevel)
	if parsed, err := zerolog.ParseLevel(level); err == nil && level != "" {
		log = log.Level(parsed)
	}
	return log
}

// serve runs the gateway until it has shut down. It returns an error if the gateway cannot start or its event
// loop fails.
func serve(log zerolog.Logger) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	log = log.With().Str("name", cfg.Name).Logger()
	runtime.GOMAXPROCS(int(max(1, math.Floor(cfg.Limits.Cores))))
	l, err := loop.New(loop.NewClock())
	if err != nil {
		return err
	}
	l.Notify(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	log.Info().Stringer("listen", cfg.Listen).Msg("started")
	return l.Run(gateway.New(cfg, log))
}
