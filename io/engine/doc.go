// Package engine is a stand-in for a model engine: it speaks the upstream protocol, holds memory like an engine,
// generates a fixed text for each prompt, and has faults that can be switched on.
package engine
