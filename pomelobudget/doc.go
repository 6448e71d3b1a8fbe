// Package pomelobudget keeps retries to a fraction of the requests.
package pomelobudget
