// Command lovagelift runs and operates lovagelift.
package main

func main() {}
