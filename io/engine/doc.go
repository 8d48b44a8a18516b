// Package engine is a stand-in for a model engine. It implements the upstream protocol, accounts for memory as an engine
// does, generates a deterministic text for each prompt, and injects faults on request.
package engine
