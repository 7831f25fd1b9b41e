package platform

import (
	"context"
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

// Options configures a Reader or a Watcher. Zero durations select the defaults.
type Options struct {
	// BaseURL is the URL of the platform in the form http://IP:port.
	BaseURL string
	Clock   clockwork.Clock
	Log     logrus.FieldLogger
	// Random adds jitter to retries, so that the instances of a fleet do not retry at
	// the same time.
	Random Random
	// Timeout limits a call, in addition to the time for which the platform holds
	// it; 2 s by default.
	Timeout time.Duration
	// ConfigWait is how long the platform holds a long poll for the configuration;
	// 20 s by default.
	ConfigWait time.Duration
	// ListWait is how long the platform holds a long poll for the listing; 1 s by
	// default, so that an unreachable platform is detected soon.
	ListWait time.Duration
}

// withDefaults returns the options with the defaults in place of zero durations.
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

// Random returns random numbers in the range [0, 1).
type Random interface {
	Float64() float64
}

// RawConfig is an encoded configuration.
type RawConfig struct {
	Revision fleet.Revision
	// YAML is the configuration document, not validated.
	YAML []byte
}

// Reader reads values from the platform. It is safe for concurrent use.
type Reader struct {
	options    Options
	address    string
	pathPrefix string
}

// NewReader returns a reader, or an error if the base URL is not valid.
func NewReader(options Options) (*Reader, error) {
	base, err := url.Parse(options.BaseURL)
	if err != nil {
		return nil, eris.Wrap(err, "cannot parse the URL of the platform")
	}
	if base.Scheme != "http" || base.Port() == "" || base.RawQuery != "" {
		return nil, eris.Errorf("the URL of the platform must have the form http://IP:port, but is %q", options.BaseURL)
	}
	return &Reader{
		options:    options.withDefaults(),
		address:    base.Host,
		pathPrefix: strings.TrimSuffix(base.EscapedPath(), "/"),
	}, nil
}

// ReadConfig reads the current configuration once. Errors have the type *Error.
func (r *Reader) ReadConfig(ctx context.Context) (RawConfig, error) {
	result, err := r.read(ctx, pathConfig)
	if err != nil {
		return RawConfig{}, err
	}
	return RawConfig{Revision: result.revision, YAML: result.value}, nil
}

// ReadListing reads the platform's current listing once. Errors have the type *Error.
func (r *Reader) ReadListing(ctx context.Context) (fleet.Listing, error) {
	result, err := r.read(ctx, pathList)
	if err != nil {
		return fleet.Listing{}, err
	}
	listing, _, err := decodeListing(result.value)
	return listing, err
}

// read reads a value once, on a new connection.
func (r *Reader) read(ctx context.Context, path string) (pollResult, error) {
	connection := r.newConnection()
	defer connection.close()
	result, err := connection.get(ctx, r.pathPrefix+path, 0)
	if err == nil && !result.changed {
		return result, &Error{Fault: Invalid, cause: eris.New("status 304 for a call without a revision")}
	}
	return result, err
}

func (r *Reader) newConnection() *connection {
	return &connection{address: r.address, clock: r.options.Clock, timeout: r.options.Timeout}
}

// watchURI returns the URI of a long poll for a revision after the given one, or of
// a plain read if the given one is zero.
func (r *Reader) watchURI(path string, after fleet.Revision, holdTime time.Duration) string {
	if after == 0 {
		return r.pathPrefix + path
	}
	return r.pathPrefix + path + "?after=" + strconv.FormatUint(uint64(after), 10) + "&wait=" + holdTime.String()
}
