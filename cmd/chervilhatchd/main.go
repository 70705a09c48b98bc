// Command chervilhatchd is the proxy daemon; it is the same on every VM.
package main

func main() {}
