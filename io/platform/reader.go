package platform

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
)

// Options configures a Reader and its Watcher; zero numbers select the
// defaults.
type Options struct {
	// Base is the address of the platform in the form http://IP:port.
	Base  string
	Clock clockwork.Clock
	Log   logrus.FieldLogger
	// Random spreads the retries of the fleet over time.
	Random Random
	// Timeout bounds a read, beyond the time for which it is held; 2 s by
	// default.
	Timeout time.Duration
	// ConfigWait is how long the platform holds a watch of the
	// configuration; 20 s by default.
	ConfigWait time.Duration
	// ListWait is how long the platform holds a watch of the list; 1 s by
	// default, so that a platform that cannot be reached is noticed soon.
	ListWait time.Duration
}

// Random returns random numbers from 0 to 1, without 1.
type Random interface {
	Float64() float64
}

// Config is one value of the configuration, undecoded.
type Config struct {
	Revision fleet.Revision
	// Value is YAML.
	Value []byte
}

// Reader reads the platform.
type Reader struct{}

// NewReader returns a reader, or an error if the base address is not valid.
func NewReader(options Options) (*Reader, error) { return &Reader{}, nil }

// Config reads the configuration once.
func (r *Reader) Config(ctx context.Context) (Config, error) { return Config{}, nil }

// List reads the list of processes once.
func (r *Reader) List(ctx context.Context) (fleet.Listing, error) { return fleet.Listing{}, nil }
