// Command chervilhatchctl is the command-line client for operators.
package main

func main() {}
