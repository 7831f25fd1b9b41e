// Package platform simulates the platform for tests and measurements. It stores
// two values, the configuration and the listing of instances and servers. Readers
// read and watch the values, and only operators change them.
//
// Readers send GET /v1/config and GET /v1/list. A response carries the current
// revision in Platform-Revision. A watch is a long poll: with ?after=N the
// response is delayed until the revision is higher than N, and has status 304 if
// that does not happen within the duration in ?wait.
//
// Operators use a second listener: PUT /v1/config, PUT /v1/list, PUT
// /v1/list/instance, PUT /v1/list/server, DELETE /v1/list/instance/{id},
// DELETE /v1/list/server/{id}, POST /fault and GET /stats.
//
// The call rate counts a call in the second in which it arrives, and a pending
// watch once more in each later second in which it is still pending. Calls that
// fail because of a fault are counted too.
package platform
