// Command pomeloctl is part of pomelorelay.
package main
