// Package demo runs a deployment on loopback, makes one server stall, kills one
// instance and stops another as planned, and checks what must always hold.
package demo
