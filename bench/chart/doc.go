// Package chart draws reports of package bench as PNG files.
package chart
