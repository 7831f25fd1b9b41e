package platform

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
)

const (
	pathConfig = "/v1/config"
	pathList   = "/v1/list"

	defaultTimeout    = 2 * time.Second
	defaultConfigWait = 20 * time.Second
	defaultListWait   = time.Second
)

// Options configures a Reader and its Watcher; zero numbers select the
// defaults.
type Options struct {
	// BaseURL is the address of the platform in the form http://IP:port.
	BaseURL string
	Clock   clockwork.Clock
	Log     logrus.FieldLogger
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

// withDefaults returns the options with defaults in place of zero numbers.
func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.ConfigWait <= 0 {
		o.ConfigWait = defaultConfigWait
	}
	if o.ListWait <= 0 {
		o.ListWait = defaultListWait
	}
	return o
}

// Random returns random numbers from 0 to 1, without 1.
type Random interface {
	Float64() float64
}

// RawConfig is one value of the configuration, undecoded.
type RawConfig struct {
	Revision fleet.Revision
	// YAML is YAML.
	YAML []byte
}

// Reader reads the platform. Its methods may be called concurrently.
type Reader struct {
	options Options
	address string
	prefix  string
}

// NewReader returns a reader, or an error if the base address is not valid.
func NewReader(options Options) (*Reader, error) {
	base, err := url.Parse(options.BaseURL)
	if err != nil {
		return nil, eris.Wrap(err, "parsing the base address of the platform")
	}
	if base.Scheme != "http" || base.Port() == "" || base.RawQuery != "" {
		return nil, eris.Errorf("the base address of the platform must be http://IP:port, not %q", options.BaseURL)
	}
	return &Reader{
		options: options.withDefaults(),
		address: base.Host,
		prefix:  strings.TrimSuffix(base.EscapedPath(), "/"),
	}, nil
}

// ReadConfig reads the configuration once.
func (r *Reader) ReadConfig(ctx context.Context) (RawConfig, error) {
	found, err := r.read(ctx, pathConfig)
	if err != nil {
		return RawConfig{}, err
	}
	return RawConfig{Revision: found.revision, YAML: found.value}, nil
}

// ReadListing reads the list of processes once.
func (r *Reader) ReadListing(ctx context.Context) (fleet.Listing, error) {
	found, err := r.read(ctx, pathList)
	if err != nil {
		return fleet.Listing{}, err
	}
	return decodeList(found.value)
}

// read reads a value once, on a connection of its own.
func (r *Reader) read(ctx context.Context, path string) (answer, error) {
	link := r.newLink()
	defer link.close()
	found, err := link.get(ctx, r.prefix+path, 0)
	if err == nil && !found.changed {
		return found, &Error{Fault: Invalid, cause: eris.New("304 without a watch")}
	}
	return found, err
}

func (r *Reader) newLink() *link {
	return &link{address: r.address, clock: r.options.Clock, timeout: r.options.Timeout}
}

// watchURI returns the URI of a watch for a revision after the given one, or
// that of a plain read if it is zero.
func (r *Reader) watchURI(path string, after fleet.Revision, wait time.Duration) string {
	if after == 0 {
		return r.prefix + path
	}
	return r.prefix + path + "?after=" + strconv.FormatUint(uint64(after), 10) + "&wait=" + wait.String()
}

// decodeList decodes the list of processes.
func decodeList(value []byte) (fleet.Listing, error) {
	var listing fleet.Listing
	if err := json.Unmarshal(value, &listing); err != nil {
		return fleet.Listing{}, &Error{Fault: Invalid, cause: err}
	}
	return listing, nil
}
