// Package ordered has a container for elements whose order changes while they are in it.
package ordered
