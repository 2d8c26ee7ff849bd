// Package keys creates and loads the keys for mutual TLS: a certificate authority,
// and the certificates that it signs for instances and operators.
package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Role defines what the holder of a certificate may do. It is the organizational
// unit (OU) in the certificate's subject.
type Role string

// Roles of certificate holders.
const (
	// RoleInstance may join the mesh.
	RoleInstance Role = "instance"
	// RoleOperator may use the admin API.
	RoleOperator Role = "operator"
)

// serverName is the DNS name in every instance certificate, in place of a host
// name, since instances are reached by IP address. The common name of the
// certificate identifies the peer.
const serverName = "radishturn.internal"

// Names and modes of the files that this package writes, and properties of its
// certificates.
const (
	AuthorityCertificateFile = "authority.pem"
	AuthorityKeyFile         = "authority.key"
	keyFileMode              = 0o600
	folderMode               = 0o700
	serialBits               = 128
	// notBeforeMargin is how far before the time of issue a certificate becomes
	// valid, so that instances accept it although their clocks are behind or were
	// set to the wrong year.
	notBeforeMargin = 2 * 365 * 24 * time.Hour
)

// Authority is a certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// InitAuthority creates a new authority in folder. It fails if the folder has one
// already.
func InitAuthority(folder string, validFor time.Duration) error {
	keyFile := filepath.Join(folder, AuthorityKeyFile)
	if _, err := os.Stat(keyFile); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("authority key %s exists or cannot be checked: %w", keyFile, fs.ErrExist)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create key folder: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate authority key: %w", err)
	}
	template, err := newTemplate("radishturn authority", "", validFor)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return fmt.Errorf("sign authority certificate: %w", err)
	}
	return writeKeyPair(filepath.Join(folder, AuthorityCertificateFile), keyFile, der, key)
}

// LoadAuthority loads the authority from folder.
func LoadAuthority(folder string) (*Authority, error) {
	return LoadAuthorityFiles(filepath.Join(folder, AuthorityCertificateFile), filepath.Join(folder, AuthorityKeyFile))
}

// LoadAuthorityFiles loads an authority from the files of its certificate and its
// private key.
func LoadAuthorityFiles(certificate, privateKey string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(certificate, privateKey)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok {
		return nil, errors.New("load authority: its key cannot sign")
	}
	return &Authority{certificate: pair.Leaf, key: signer}, nil
}

// Issue creates a key and a certificate for the holder name with the given role
// and writes them to folder as NAME.key and NAME.pem.
func (a *Authority) Issue(folder, name string, role Role, validFor time.Duration) error {
	der, key, err := a.newKeyPair(name, role, validFor)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create key folder: %w", err)
	}
	return writeKeyPair(filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key"), der, key)
}

// IssueCredentials creates a key and a certificate for an instance without writing
// them to files. The secrets that are derived from these credentials depend on the
// authority's key, since the instance's key does not outlive the process.
func (a *Authority) IssueCredentials(name string, validFor time.Duration) (*Credentials, error) {
	der, key, err := a.newKeyPair(name, RoleInstance, validFor)
	if err != nil {
		return nil, err
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of %s: %w", name, err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	pair := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
	return &Credentials{pair: pair, roots: roots, durableKey: a.key}, nil
}

// newKeyPair generates a key and returns it with its signed certificate.
func (a *Authority) newKeyPair(name string, role Role, validFor time.Duration) ([]byte, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key of %s: %w", name, err)
	}
	template, err := newTemplate(name, role, validFor)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if role == RoleInstance {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
		template.DNSNames = []string{serverName}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	return der, key, nil
}

func newTemplate(name string, role Role, validFor time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	subject := pkix.Name{CommonName: name}
	if role != "" {
		subject.OrganizationalUnit = []string{string(role)}
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-notBeforeMargin),
		NotAfter:     now.Add(validFor),
	}, nil
}

func writeKeyPair(certificateFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := writePEM(keyFile, "PRIVATE KEY", keyDER); err != nil {
		return err
	}
	return writePEM(certificateFile, "CERTIFICATE", der)
}

func writePEM(file, kind string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, block, keyFileMode); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
