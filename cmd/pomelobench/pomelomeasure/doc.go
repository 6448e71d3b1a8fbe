// Package pomelomeasure measures the latency that routers add, and how long configuration changes take to be in force on all routers.
package pomelomeasure
