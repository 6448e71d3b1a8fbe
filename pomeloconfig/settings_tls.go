package pomeloconfig

// TLSSettings names the files for mutual TLS between routers; they are reloaded when they change.
type TLSSettings struct {
	CertFile      string `yaml:"CertFile"`
	KeyFile       string `yaml:"KeyFile"`
	AuthorityFile string `yaml:"AuthorityFile"`
	// Insecure disables TLS between routers.
	Insecure bool `yaml:"Insecure"`
}

func (t TLSSettings) check(c *checker) {
	files := []string{t.CertFile, t.KeyFile, t.AuthorityFile}
	given := 0
	for _, file := range files {
		if file != "" {
			given++
		}
	}
	switch {
	case t.Insecure && given > 0:
		c.add("TLS.Insecure", "key files are given and Insecure is set", "remove one of the two")
	case !t.Insecure && given < len(files):
		c.add("TLS", "CertFile, KeyFile and AuthorityFile are not all given", "give all three, or set Insecure: true on a trusted network")
	}
}
