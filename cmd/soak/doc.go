// Command soak plays seeded series of faults against the real host processes.
package main
