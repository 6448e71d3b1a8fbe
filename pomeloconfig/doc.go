// Package pomeloconfig holds the operators' configuration and a router's
// settings: their types, checks, generation from the questionnaire's answers,
// immutable parts, generations and the audit trail.
package pomeloconfig
