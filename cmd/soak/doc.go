// Command soak injects seeded series of faults into real host processes and checks the system's guarantees.
package main
