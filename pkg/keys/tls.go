package keys

import (
	"crypto"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// Files holds the names of the key files of one holder.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Credentials are the key, the certificate and the trusted authority of one
// holder.
type Credentials struct {
	pair  tls.Certificate
	roots *x509.CertPool
	// durableKey is the private key from which secrets are derived. It outlives the
	// process: the holder's own if it was read from a file, otherwise the authority's.
	durableKey crypto.PrivateKey
}

// Load loads the files and verifies that the certificate is signed by the
// authority and currently valid.
func Load(f Files) (*Credentials, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s: %w", f.Certificate, err)
	}
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("load authority %s: the file contains no valid certificate", f.Authority)
	}
	c := &Credentials{pair: pair, roots: roots, durableKey: pair.PrivateKey}
	if err := c.verify(time.Now()); err != nil {
		return nil, fmt.Errorf("certificate %s: %w", f.Certificate, err)
	}
	return c, nil
}

func (c *Credentials) verify(now time.Time) error {
	_, err := c.pair.Leaf.Verify(x509.VerifyOptions{
		Roots:       c.roots,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// DeriveSecret derives a secret for one purpose. It depends only on the purpose, the
// holder's name and a private key that outlives the process, so a restarted process
// derives the same secret although it may have issued itself a new certificate. Only
// those who have that private key can derive it.
func (c *Credentials) DeriveSecret(purpose string) ([32]byte, error) {
	var secret [32]byte
	key, err := x509.MarshalPKCS8PrivateKey(c.durableKey)
	if err != nil {
		return secret, fmt.Errorf("derive secret for %s: %w", purpose, err)
	}
	derived, err := hkdf.Key(sha256.New, key, []byte(c.Name()), purpose, len(secret))
	if err != nil {
		return secret, fmt.Errorf("derive secret for %s: %w", purpose, err)
	}
	copy(secret[:], derived)
	return secret, nil
}

// Name returns the holder's name.
func (c *Credentials) Name() string { return c.pair.Leaf.Subject.CommonName }

// ServerConfig returns a configuration that requires a client certificate of the
// authority with one of the given roles.
func (c *Credentials) ServerConfig(protocols []string, roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{c.pair},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        c.roots,
		NextProtos:       protocols,
		VerifyConnection: func(s tls.ConnectionState) error { return verifyRole(s, roles) },
	}
}

// ClientConfig returns a configuration for connections to an instance. If name is
// empty, any instance of the authority is accepted.
func (c *Credentials) ClientConfig(protocols []string, name string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.pair},
		RootCAs:      c.roots,
		ServerName:   serverName,
		NextProtos:   protocols,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeer(s, name)
		},
	}
}

func verifyPeer(s tls.ConnectionState, name string) error {
	if err := verifyRole(s, []Role{RoleInstance}); err != nil {
		return err
	}
	if got := PeerName(s); name != "" && got != name {
		return fmt.Errorf("peer is %q, wanted %q", got, name)
	}
	return nil
}

func verifyRole(s tls.ConnectionState, roles []Role) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	for _, unit := range s.PeerCertificates[0].Subject.OrganizationalUnit {
		for _, role := range roles {
			if unit == string(role) {
				return nil
			}
		}
	}
	return fmt.Errorf("peer %q has none of the roles %v", PeerName(s), roles)
}

// PeerName returns the common name in the peer's certificate, or "" if the peer
// has no certificate.
func PeerName(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}
