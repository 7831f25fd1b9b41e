// Command demo runs a fleet on loopback under faults and prints a table.
package main

func main() {}
