package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"auburnstack/io/settings"
)

// Transport secures connections between VMs, or leaves them plain.
type Transport = credentials.TransportCredentials

// reloadInterval is the time between two looks at the certificate files.
const reloadInterval = 10 * time.Second

// ErrCertificate reports TLS files that can not be used, or a peer that is not one of ours.
var ErrCertificate = errors.New("the certificate can not be used")

// Credentials returns mutual TLS by the named files, or plain TCP when none are named.
// Replaced files are used for new connections without a restart.
func Credentials(files settings.TLS) (Transport, error) {
	if !files.Enabled() {
		return insecure.NewCredentials(), nil
	}
	keys := &keyring{files: files}
	if err := keys.reload(time.Now()); err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return keys.certificate(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return keys.certificate(), nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// VMs are known by IP number and replaced at any time, so the chain is checked, not the host name.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain
		VerifyConnection:   keys.verify,
	}), nil
}

// keyring holds the newest readable certificate and authority.
type keyring struct {
	files settings.TLS

	mu        sync.Mutex
	lastLoad  time.Time
	pair      *tls.Certificate
	authority *x509.CertPool
}

func (k *keyring) reload(now time.Time) error {
	pair, err := tls.LoadX509KeyPair(k.files.CertificateFile, k.files.KeyFile)
	if err != nil {
		return errors.WithMessage(ErrCertificate, err.Error())
	}
	text, err := os.ReadFile(k.files.AuthorityFile)
	if err != nil {
		return errors.WithMessage(ErrCertificate, err.Error())
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return errors.WithMessage(ErrCertificate, "no certificate in "+k.files.AuthorityFile)
	}
	k.pair = &pair
	k.authority = authority
	k.lastLoad = now
	return nil
}

// refresh reads the files again after a while; unreadable files leave the old keys in use.
func (k *keyring) refresh() {
	if now := time.Now(); now.Sub(k.lastLoad) >= reloadInterval {
		k.lastLoad = now
		_ = k.reload(now)
	}
}

func (k *keyring) certificate() *tls.Certificate {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return k.pair
}

// verify checks the peer's chain and dates against the authority.
func (k *keyring) verify(state tls.ConnectionState) error {
	k.mu.Lock()
	k.refresh()
	authority := k.authority
	k.mu.Unlock()
	if len(state.PeerCertificates) == 0 {
		return errors.WithMessage(ErrCertificate, "the peer has shown none")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.WithMessage(ErrCertificate, err.Error())
	}
	return nil
}
