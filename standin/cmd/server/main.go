// Command server runs one or more simulated servers in one process.
package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"galenaridge/core/fleet"
	"galenaridge/standin/daemon"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/server"
)

func main() {
	daemon.Main("server", "simulated servers of an upstream service", flags(), run)
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "file", Usage: "JSON file with a list of servers; replaces all other flags"},
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address for requests and health probes"},
		&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "address for faults and queries"},
		&cli.StringFlag{Name: "id", Value: "server-1", Usage: "id of the server"},
		&cli.StringFlag{Name: "service", Value: "service", Usage: "name of the service"},
		&cli.IntFlag{Name: "slots", Value: 4, Usage: "maximum number of concurrent requests"},
		&cli.IntFlag{Name: "conns", Usage: "connection limit; 0 means none"},
		&cli.DurationFlag{Name: "mean", Usage: "mean service time"},
		&cli.DurationFlag{Name: "jitter", Usage: "largest deviation from the mean"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the service times"},
		&cli.IntFlag{Name: "cold", Usage: "number of first requests with a longer service time"},
		&cli.FloatFlag{Name: "cold-factor", Value: 1, Usage: "multiplier of the service time of the first requests"},
		&cli.StringFlag{Name: "journal", Usage: "file to which each protected key is appended when its request starts"},
	}
}

// run serves until the context ends.
func run(ctx context.Context, c *cli.Command, logger *logrus.Logger) error {
	servers, err := serverOptions(c)
	if err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	for _, options := range servers {
		s, err := server.Start(options, clock)
		if err != nil {
			return err
		}
		defer s.Close()
		logger.WithFields(logrus.Fields{"id": options.ID, "listen": s.ListenAddress(), "control": s.ControlAddress()}).Info("serving")
	}
	<-ctx.Done()
	return nil
}

// serverOptions returns the options of all servers, from the file or else the flags.
func serverOptions(c *cli.Command) ([]server.Options, error) {
	if c.String("file") != "" {
		return readServers(c.String("file"))
	}
	return []server.Options{{
		ID:           fleet.ServerID(c.String("id")),
		Service:      fleet.ServiceName(c.String("service")),
		Listen:       fleet.Address(c.String("listen")),
		Control:      fleet.Address(c.String("control")),
		Slots:        fleet.Slots(c.Int("slots")),
		MaxConns:     fleet.Conns(c.Int("conns")),
		Mean:         jsontime.Duration(c.Duration("mean")),
		Jitter:       jsontime.Duration(c.Duration("jitter")),
		Seed:         c.Uint64("seed"),
		ColdRequests: c.Int("cold"),
		ColdFactor:   c.Float("cold-factor"),
		Journal:      c.String("journal"),
	}}, nil
}

// readServers reads the options of all servers from a JSON file.
func readServers(name string) ([]server.Options, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read the list of servers")
	}
	var servers []server.Options
	if err := json.Unmarshal(text, &servers); err != nil {
		return nil, eris.Wrapf(err, "parse %s", name)
	}
	return servers, nil
}
