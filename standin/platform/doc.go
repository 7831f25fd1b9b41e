// Package platform is a stand-in for the platform: a configuration value and
// a list of processes that readers read and watch, and that only operators
// change.
//
// Readers use GET /v1/config and GET /v1/list. An answer carries the current
// revision in Platform-Revision. With ?after=N the call is held until the
// revision is higher than N; after the time in ?wait it ends with 304.
//
// Operators use a second listener: PUT /v1/config, PUT /v1/list, PUT
// /v1/list/instance, PUT /v1/list/server, DELETE /v1/list/instance/{id},
// DELETE /v1/list/server/{id}, POST /fault and GET /stats.
//
// The rate of calls counts a call in the second in which it arrives, and a
// pending watch once more in each later second that it is still pending.
// Calls that a fault lets fail are counted too.
package platform
