package pomelonode

import (
	"strconv"

	"github.com/pomelorelay/pomelorelay"
)

func fingerprintKey(f pomelorelay.Fingerprint) string {
	return "fingerprint/" + strconv.FormatUint(uint64(f), 16)
}
