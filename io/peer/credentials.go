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

// Transport provides TLS or plain TCP for the connections between VMs.
type Transport = credentials.TransportCredentials

// reloadInterval is the minimum time between two reads of the certificate files.
const reloadInterval = 10 * time.Second

// ErrCertificate reports that the TLS files cannot be used, or that the peer's certificate has expired or was not
// signed by the certificate authority.
var ErrCertificate = errors.New("the certificate can not be used")

// Credentials returns credentials for mutual TLS with the given files, or for plain TCP if no files are configured.
// When the files are replaced, new connections use the new files without a restart of the VM.
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
		// VMs are addressed by IP and may be replaced at any time, so VerifyConnection checks the certificate chain
		// instead of the host name.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain
		VerifyConnection:   keys.verify,
	}), nil
}

// keyring holds this VM's certificate and the certificate authority as they were last read successfully.
type keyring struct {
	files settings.TLS

	mu        sync.Mutex
	lastLoad  time.Time
	pair      *tls.Certificate
	authority *x509.CertPool
}

// reload reads the files and replaces the certificate and the authority if all files are valid.
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

// refresh reads the files again if reloadInterval has passed. If the files cannot be read, the old keys stay in use.
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

// verify checks that the certificate authority signed the peer's certificate chain and that the certificate is valid
// now.
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
