// Command balsamtrail is a program of balsamtrail.
package main

import "fmt"

func main() { fmt.Println("balsamtrail: no command given") }
