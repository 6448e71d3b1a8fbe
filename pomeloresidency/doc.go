// Package pomeloresidency determines the regions in which a request may be served, from those that the configuration allows for its route and
// for its client account.
package pomeloresidency
