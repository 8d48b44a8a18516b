// Package ordered provides a heap whose elements may change their order while they are in it.
package ordered
