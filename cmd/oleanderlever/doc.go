// Command oleanderlever runs hosts of the router, their operators' client, and stand-ins for what they speak to.
package main
