// Command pomelorelayd runs one router of a pomelorelay fleet.
package main
