// Package pomelodialer opens TCP connections that detect a peer which stops responding without a reset.
package pomelodialer
