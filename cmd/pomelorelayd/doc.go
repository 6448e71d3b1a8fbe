// Command pomelorelayd is part of pomelorelay.
package main
