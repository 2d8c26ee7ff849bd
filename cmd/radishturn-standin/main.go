// Command radishturn-standin is filled in by its package.
package main

func main() {}
