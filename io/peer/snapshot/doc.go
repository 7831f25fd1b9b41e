// Package snapshot transfers an instance's copy of the platform's store to another
// instance over HTTP.
//
// Changes of the server listing are one response. The complete listing and the
// configuration are documents that are sent in parts: compressed protobuf, cut into parts of
// partBytes, with the digest of the whole. The sender limits parts to a share of its
// network link, so that copies do not delay the requests of callers.
package snapshot
