// Package port reserves TCP ports for processes that start later or restart.
package port
