// Package platform reads and watches the configuration and the list of
// processes of the platform.
package platform
