// Command balsamtraild is a program of balsamtrail.
package main

import "fmt"

func main() { fmt.Println("balsamtraild: no command given") }
