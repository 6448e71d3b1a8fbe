// Package pomeloresidency decides in which regions a request may be served, from the regions that the operators allow to its route and to its
// client account.
package pomeloresidency
