package main

import (
	"os"

	"oleanderlever/io/console"
)

func main() { os.Exit(console.Main(os.Args[1:])) }
