// Package pomelobudget limits retries to a fraction of the requests.
package pomelobudget
