// Package pomelomeasure measures single things about routers: the latency that they add, and how soon a configuration is in force.
package pomelomeasure
