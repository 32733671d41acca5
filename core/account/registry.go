package account

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Registry looks up accounts by credential. It compares credentials by their digests.
type Registry struct {
	accounts []Account
	digests  [][sha256.Size]byte
}

// NewRegistry returns a registry that authenticates callers of the given accounts.
func NewRegistry(accounts []Account) *Registry {
	registry := &Registry{accounts: accounts}
	for _, a := range accounts {
		registry.digests = append(registry.digests, sha256.Sum256([]byte(a.Credential)))
	}
	return registry
}

// Authenticate returns the account to which the credential belongs, or false if there is none.
// It compares all digests in constant time, so that its duration does not reveal which account matched.
func (r *Registry) Authenticate(credential string) (Account, bool) {
	digest := sha256.Sum256([]byte(credential))
	found := -1
	for i := range r.digests {
		if subtle.ConstantTimeCompare(digest[:], r.digests[i][:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Account{}, false
	}
	return r.accounts[found], true
}

// All returns the accounts in the order of the settings.
func (r *Registry) All() []Account {
	return r.accounts
}
