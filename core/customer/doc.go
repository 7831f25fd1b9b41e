// Package customer describes the customers of the operator and the keys by which their
// requests are recognized.
//
// Model: a Customer is an entry of the configuration. It holds the hashes of its keys, not
// the keys: they leave the adapter of the platform only as a KeyHash, so that no log line,
// state or message between instances can contain one.
package customer
