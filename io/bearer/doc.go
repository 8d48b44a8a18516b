// Package bearer carries shared secrets in the Authorization header, on both sides of an HTTP connection.
package bearer
