// Package chart plots reports of package bench as PNG files.
package chart
