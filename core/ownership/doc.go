// Package ownership decides which instance holds which resource.
package ownership
