package table

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/route/auth"
)

// withAccounts returns a table with the list of accounts.
func withAccounts(list string) string {
	return fmt.Sprintf(`{"Version":9,"Routes":[{"Name":"r","Host":"h","Prefix":"/","Kind":"Idempotent","Service":"s","Public":true}],"Accounts":%s}`, list)
}

// owner returns the name of the account that has the key, empty if there is none.
func owner(t *Table, key string) string {
	account, _ := t.Accounts.Find(auth.Digest([]byte(key)))
	return account.Name
}

// TestAccounts guards against a list whose absence counts as an empty one, or the reverse:
// the one opens all routes, the other closes them.
func TestAccounts(t *testing.T) {
	for data, required := range map[string]bool{
		sample: false, withAccounts("null"): false, withAccounts("[]"): true, withAccounts("[7]"): true,
		withAccounts(`[{"Name":"a","Keys":["k"]}]`): true,
	} {
		table, err := Parse([]byte(data))
		require.NoError(t, err)
		assert.Equal(t, required, table.Accounts.Required(), data)
	}
	for _, list := range []string{`"k"`, `{}`, `7`} {
		_, err := Parse([]byte(withAccounts(list)))
		assert.ErrorIs(t, err, ErrInvalid, list)
	}
	table, err := Parse([]byte(withAccounts(`[]`)))
	require.NoError(t, err)
	assert.True(t, table.Routes[0].Public)
	assert.False(t, parsed(t).Routes[0].Public)
}

// TestInvalidAccountsLoseNothingElse guards against one invalid entry that makes the
// configuration or other accounts unusable, and against keys in the faults.
func TestInvalidAccountsLoseNothingElse(t *testing.T) {
	data := withAccounts(`[
		{"Name":"a","Keys":["secret-1","","secret 2",7,null,"secret-3"],"Priority":1.0},
		{"Keys":["secret-4"]}, {"Name":5,"Keys":["secret-5"]}, "secret-6", null, ["secret-7"],
		{"Name":"b","Keys":"secret-8","Priority":"secret-9"}, {"Name":"c","Keys":["secret-3"],"Priority":-1},
		{"Name":"d","Priority":null,"Digests":["secret-10"]}, {"Name":"e","Keys":["secret-11"],"New":{"x":1}}]`)
	table, err := Parse([]byte(data))
	require.NoError(t, err)
	assert.Equal(t, uint64(9), table.Version)
	owners := map[string]string{"secret-1": "a", "secret-11": "e"}
	for i := range 12 {
		key := fmt.Sprint("secret-", i)
		assert.Equal(t, owners[key], owner(table, key), key)
	}
	account, _ := table.Accounts.Find(auth.Digest([]byte("secret-1")))
	assert.Equal(t, auth.Account{Name: "a", Priority: 1, Ranked: true}, account)
	assert.Equal(t, 5, table.Accounts.Len())
	var texts strings.Builder
	for _, f := range table.AccountFaults {
		fmt.Fprintln(&texts, f)
	}
	assert.Equal(t, 14, strings.Count(texts.String(), "\n"), texts.String())
	assert.NotContains(t, texts.String(), "secret")
}

// TestTablesForPeersHaveNoKeys guards against keys in messages between processes, and
// against a peer that gets other accounts from them.
func TestTablesForPeersHaveNoKeys(t *testing.T) {
	same, err := WithoutKeys(parsed(t), []byte(sample))
	require.NoError(t, err)
	assert.Equal(t, sample, string(same), "no accounts are configured")
	data := []byte(strings.Replace(withAccounts(`[{"Name":"a","Keys":["secret-1","secret-2"],"Priority":0},{"Name":"b"}]`), `"Accounts"`, `"aCCountſ"`, 1))
	table, err := Parse(data)
	require.NoError(t, err)
	sent, err := WithoutKeys(table, data)
	require.NoError(t, err)
	assert.NotContains(t, string(sent), "secret")
	received, err := Parse(sent)
	require.NoError(t, err)
	assert.Equal(t, table.Accounts, received.Accounts)
	assert.Equal(t, table.Routes, received.Routes)
}

// TestKeysOfRepeatedListsStayHere guards against keys in messages between processes if the
// list of accounts is given more than once: the decoder ignores the case of names and the last
// list counts, also null.
func TestKeysOfRepeatedListsStayHere(t *testing.T) {
	const first = `[{"Name":"a","Keys":["secret-1"]}]`
	for list, required := range map[string]bool{
		first + `,"accounts":null`: false, first + `,"Accounts":null`: false, first + `,"\u0061ccounts":null`: false,
		`null,"ACCOUNTS":null`: false, first + `,"accounts":[{"Name":"b","Keys":["secret-2"]}]`: true,
	} {
		data := []byte(withAccounts(list))
		table, err := Parse(data)
		require.NoError(t, err, list)
		require.Equal(t, required, table.Accounts.Required(), list)
		sent, err := WithoutKeys(table, data)
		require.NoError(t, err, list)
		assert.NotContains(t, string(sent), "secret", list)
		received, err := Parse(sent)
		require.NoError(t, err, list)
		assert.Equal(t, table, received, list)
	}
}

// FuzzAccounts checks that no list of accounts makes Parse panic or loses the rest of the
// table, and that peers get the same accounts.
func FuzzAccounts(f *testing.F) {
	f.Add(`[{"Name":"a","Keys":["k1","k2"],"Priority":1},{"Name":"b","Keys":["k1"]},7,{"Name":"","Keys":[""]}]`)
	f.Add(`[{"Name":"a","Keys":["k1"]},{"Name":"a","Keys":["k1","k2"],"Digests":["00"]},{"name":"\u0000"}]`)
	f.Fuzz(func(t *testing.T, list string) {
		data := []byte(withAccounts(list))
		table, err := Parse(data)
		if err != nil {
			return
		}
		sent, err := WithoutKeys(table, data)
		require.NoError(t, err)
		received, err := Parse(sent)
		require.NoError(t, err)
		require.Equal(t, table.Accounts.Required(), received.Accounts.Required())
		require.Equal(t, table.Accounts.Len(), received.Accounts.Len())
		for _, e := range table.Accounts.Entries() {
			for _, k := range e.Keys {
				want, _ := table.Accounts.Find(k)
				got, ok := received.Accounts.Find(k)
				require.True(t, ok && got == want, "account %q", e.Name)
			}
		}
	})
}
