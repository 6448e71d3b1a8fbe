// Command pomelobench is part of pomelorelay.
package main
