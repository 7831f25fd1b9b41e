package config

import "galenaridge/core/fleet"

// DefaultTenant stands for every tenant that is not configured, so that the
// number of tenants seen by queues and metrics is bounded.
const DefaultTenant fleet.Tenant = "default"

// View is the immutable configuration in force.
type View struct{ document Document }

func newView(d Document) *View { return &View{document: d} }

// View returns the configuration in force. It is never nil.
func (s *State) View() *View { return s.view }

// Ready reports whether any document is in force.
func (v *View) Ready() bool { return v.document.Version > 0 }

// Version returns the version in force, or zero if there is none.
func (v *View) Version() fleet.Version { return v.document.Version }

// Digest returns the digest of the document in force.
func (v *View) Digest() fleet.Digest { return v.document.Digest }

// Document returns the document in force; it must not be modified.
func (v *View) Document() Document { return v.document }

// Service returns the configuration of a service.
func (v *View) Service(name fleet.ServiceName) (Service, bool) { return Service{}, false }

// Protected reports whether a request is non-idempotent. The path may carry a
// query, which is ignored.
func (v *View) Protected(service fleet.ServiceName, method, path string) bool { return true }

// Tenant returns the tenant of that name, or the default tenant.
func (v *View) Tenant(name fleet.Tenant) Tenant { return Tenant{} }
