// Command pomelorelayd runs one router of the fleet on an entry host.
package main
