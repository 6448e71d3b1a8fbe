package main

import (
	"fmt"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

func registerCheck(app *kingpin.Application) {
	command := app.Command("check", "Check a settings file and exit.")
	path := command.Flag("settings", "The settings file.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		s, err := pomeloconfig.LoadSettings(*path)
		if err != nil {
			return err
		}
		fmt.Printf("%s: settings of %s are valid\n", *path, s.Host.Name)
		return nil
	})
}
