package keys_test

import (
	"crypto/tls"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/keys"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keys")
}

func issue(folder, name string, role keys.Role) *keys.Credentials {
	GinkgoHelper()
	a, err := keys.LoadAuthority(folder)
	Expect(err).NotTo(HaveOccurred())
	Expect(a.Issue(folder, name, role, time.Hour)).To(Succeed())
	c, err := keys.Load(files(folder, name))
	Expect(err).NotTo(HaveOccurred())
	return c
}

func files(folder, name string) keys.Files {
	return keys.Files{
		Authority:   filepath.Join(folder, keys.AuthorityCertificateFile),
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
	}
}

// handshake connects a client to a server that requires the operator role.
func handshake(server *keys.Credentials, client *tls.Config) error {
	GinkgoHelper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig(nil, keys.RoleOperator))
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	accepted := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
		accepted <- err
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	c := tls.Client(conn, client)
	defer c.Close()
	if err := c.Handshake(); err != nil {
		return err
	}
	return <-accepted
}

var _ = Describe("Keys", func() {
	var folder string

	BeforeEach(func() {
		folder = GinkgoT().TempDir()
		Expect(keys.InitAuthority(folder, time.Hour)).To(Succeed())
	})

	It("are readable by their owner only", func() {
		issue(folder, "e1", keys.RoleInstance)
		for _, name := range []string{keys.AuthorityKeyFile, "e1.key"} {
			info, err := os.Stat(filepath.Join(folder, name))
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(Equal(fs.FileMode(0o600)), name)
		}
	})

	It("do not replace an existing authority", func() {
		Expect(keys.InitAuthority(folder, time.Hour)).To(MatchError(fs.ErrExist))
	})

	It("fail to load when a file is missing", func() {
		_, err := keys.Load(files(folder, "nobody"))
		Expect(err).To(MatchError(fs.ErrNotExist))
	})

	It("derive the same secret after a restart, and a different one for each holder", func() {
		issue(folder, "e1", keys.RoleInstance)
		other := issue(folder, "e2", keys.RoleInstance)
		first, err := keys.Load(files(folder, "e1"))
		Expect(err).NotTo(HaveOccurred())
		reloaded, err := keys.Load(files(folder, "e1"))
		Expect(err).NotTo(HaveOccurred())
		secret := func(c *keys.Credentials) [32]byte {
			s, err := c.DeriveSecret("test")
			Expect(err).NotTo(HaveOccurred())
			return s
		}
		Expect(secret(reloaded)).To(Equal(secret(first)))
		Expect(secret(other)).NotTo(Equal(secret(first)))
	})

	It("derive the same secret after a restart that issues a new key, and a different one for each holder", func() {
		a, err := keys.LoadAuthority(folder)
		Expect(err).NotTo(HaveOccurred())
		secret := func(name, purpose string) [32]byte {
			c, err := a.IssueCredentials(name, time.Hour)
			Expect(err).NotTo(HaveOccurred())
			s, err := c.DeriveSecret(purpose)
			Expect(err).NotTo(HaveOccurred())
			return s
		}
		Expect(secret("e1", "test")).To(Equal(secret("e1", "test")))
		Expect(secret("e2", "test")).NotTo(Equal(secret("e1", "test")))
		Expect(secret("e1", "other")).NotTo(Equal(secret("e1", "test")))
	})

	DescribeTable("admit only operators to the admin listener", func(makeClient func() *tls.Config, matcher OmegaMatcher) {
		Expect(handshake(issue(folder, "e1", keys.RoleInstance), makeClient())).To(matcher)
	},
		Entry("operator", func() *tls.Config { return issue(folder, "ana", keys.RoleOperator).ClientConfig(nil, "") }, Succeed()),
		Entry("instance", func() *tls.Config { return issue(folder, "e2", keys.RoleInstance).ClientConfig(nil, "") }, HaveOccurred()),
		Entry("no certificate", func() *tls.Config { return &tls.Config{InsecureSkipVerify: true} }, HaveOccurred()),
	)
})
