// Command radishturn is filled in by its package.
package main

func main() {}
