// Package pomelohead checks the heads of HTTP answers. It is stricter than
// net/http, which accepts any three-digit status, blanks in the names of fields
// and fields that are folded over several lines: a field that is not recognized
// may be the one that tells the length of the body.
package pomelohead
