// Command bench runs stand-in backend servers, load and experiments against balsamtrail.
package main

import "fmt"

func main() { fmt.Println("bench: no command given") }
