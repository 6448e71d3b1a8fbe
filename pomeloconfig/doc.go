// Package pomeloconfig defines the fleet's configuration and a router's
// settings. It parses and validates both, generates a configuration from the
// answers to a questionnaire, splits it into immutable parts, publishes it in
// the store under increasing generations with an audit trail, and distributes
// it among routers.
package pomeloconfig
