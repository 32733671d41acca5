package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/table"
	"auburnstack/core/vm"
	"auburnstack/io/settings"
)

// authority is a certificate authority that signs certificates for tests.
type authority struct {
	c           *qt.C
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	encoded     []byte
}

func newAuthority(c *qt.C) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	certificate, err := x509.ParseCertificate(encoded)
	c.Assert(err, qt.IsNil)
	return &authority{c: c, certificate: certificate, key: key, encoded: encoded}
}

// issue creates a certificate that expires after the given time and writes it to a folder, with its key and the
// certificate of the authority.
func (a *authority) issue(folder string, lasts time.Duration) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(lasts),
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	files := settings.TLS{
		CertificateFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"),
		AuthorityFile: filepath.Join(folder, "authority.pem"),
	}
	a.write(files.CertificateFile, "CERTIFICATE", encoded)
	a.write(files.KeyFile, "EC PRIVATE KEY", encodedKey)
	a.write(files.AuthorityFile, "CERTIFICATE", a.encoded)
	return files
}

func (a *authority) write(file, kind string, content []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	a.c.Assert(os.WriteFile(file, text, 0o600), qt.IsNil)
}

// echo answers FetchTables with the revision from the request.
type echo struct {
	Peer
}

func (echo) FetchTables(_ context.Context, since table.Revision) (TablesReply, error) {
	return TablesReply{Revision: since}, nil
}

// call starts a server and a client, each with its own TLS files, makes one call and returns its error.
func call(c *qt.C, server, client settings.TLS) error {
	transport, err := Credentials(server)
	c.Assert(err, qt.IsNil)
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := NewServer(listener, transport, echo{}, hclog.NewNullLogger())
	defer s.Close()
	transport, err = Credentials(client)
	c.Assert(err, qt.IsNil)
	pool := NewPool(transport)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	target := vm.VM{Name: "server", PeerAddress: netip.MustParseAddrPort(listener.Addr().String())}
	_, err = pool.Peer(target).FetchTables(ctx, 7)
	return err
}

func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	ours, foreign := newAuthority(c), newAuthority(c)
	good := ours.issue(t.TempDir(), time.Hour)
	c.Assert(call(c, good, ours.issue(t.TempDir(), time.Hour)), qt.IsNil)
	c.Assert(call(c, good, foreign.issue(t.TempDir(), time.Hour)), qt.ErrorMatches, ".*certificate can not be used.*")
	// Only the side that rejects the certificate gets the reason. The other side sees a closed connection.
	expired := ours.issue(t.TempDir(), -time.Hour)
	c.Assert(call(c, expired, good), qt.ErrorMatches, ".*certificate has expired.*")
	c.Assert(call(c, good, expired), qt.ErrorIs, ErrUnreachable)
	c.Assert(call(c, good, settings.TLS{}), qt.Not(qt.IsNil))
	c.Assert(call(c, settings.TLS{}, settings.TLS{}), qt.IsNil)
}

// When the TLS files are replaced, the new files must be used without a restart. If the new files are damaged, the old
// keys must stay in use.
func TestCertificateReplaced(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	folder := t.TempDir()
	keys := &keyring{files: a.issue(folder, time.Hour)}
	c.Assert(keys.reload(time.Now()), qt.IsNil)
	first := keys.certificate()
	a.issue(folder, time.Hour)
	c.Assert(keys.certificate(), qt.Equals, first)
	keys.lastLoad = time.Now().Add(-reloadInterval)
	second := keys.certificate()
	c.Assert(second, qt.Not(qt.Equals), first)
	c.Assert(os.WriteFile(keys.files.KeyFile, []byte("damaged"), 0o600), qt.IsNil)
	keys.lastLoad = time.Now().Add(-reloadInterval)
	c.Assert(keys.certificate(), qt.Equals, second)
}
