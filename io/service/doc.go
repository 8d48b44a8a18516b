// Package service is a stand-in for a plain service. It counts the executed calls by their body, except GET
// requests, and injects faults on request.
package service
