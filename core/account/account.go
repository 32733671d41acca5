// Package account describes the client accounts that requests and jobs belong to.
package account

// Name identifies a client account in tables, settings and records.
type Name string

// Account is a client account as configured in the settings of an entry VM.
type Account struct {
	// Name is unique among the accounts of one settings file.
	Name Name
	// Weight is the relative share of the account in weighted max-min fair admission; at least 1.
	Weight int
	// Credential is the secret that callers of this account present; unique among accounts.
	Credential string
	// RatePerSecond limits the rate at which one VM admits the account's requests; 0 means no limit.
	RatePerSecond float64
}
