package policywatch

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/io/boottime"
	"auburnstack/standin/memstore"
)

// linkBytesPerSecond is the bandwidth of a link of 10 Mbit/s for values in Base64.
const linkBytesPerSecond = 10_000_000 / 8 * 3 / 4

// TestLargeConfigurationOnSlowLink guards against a VM behind a slow link that never gets to read a large
// configuration, because it gives up each answer while it still arrives, whether it watches or, after the store has
// dropped its history, reads all keys again.
func TestLargeConfigurationOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memstore.New(1)
		service.Put("op/config", bytes.Repeat([]byte("x"), 100))
		client := service.Client()
		w := New(client, strictCodec{}, boottime.Now, hclog.NewNullLogger(), func(*Snapshot, Source) {})
		defer w.Close()
		time.Sleep(time.Second)
		client.SetFaults(memstore.Faults{BytesPerSecond: linkBytesPerSecond})
		for i, lost := range []bool{false, true, true} {
			size := 900_000 + i
			service.Put("op/config", bytes.Repeat([]byte("x"), size))
			if lost {
				service.Compact()
			}
			time.Sleep(3 * time.Second)
			qt.Check(t, int(w.Current().Policy.Version), qt.Equals, size)
		}
	})
}
