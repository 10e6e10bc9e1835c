package auth

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// credential returns the Credential of the values of a header field.
func credential(values ...string) Credential {
	var c Credential
	for _, v := range values {
		c.Add("Token", []byte(v))
	}
	return c
}

// keys returns the digests of keys.
func keys(list ...string) []Key {
	digests := make([]Key, 0, len(list))
	for _, k := range list {
		digests = append(digests, Digest([]byte(k)))
	}
	return digests
}

// TestDecide guards against a request that runs without a valid key, and against a valid
// one that is rejected for its form.
func TestDecide(t *testing.T) {
	accounts, faults := New([]Entry{{Name: "a", Keys: keys("k1", "k2"), Priority: 1, Ranked: true}, {Name: "b", Keys: keys("k3")}, {Name: "none"}})
	assert.Empty(t, faults)
	for _, c := range []struct {
		values  []string
		account string
		err     error
	}{
		{[]string{"Token k1"}, "a", nil},
		{[]string{"tOKEN k2"}, "a", nil},
		{[]string{" \tToken   k3\t "}, "b", nil},
		{nil, "", ErrMissing},
		{[]string{"Token K1"}, "", ErrUnknown},
		{[]string{"Token k4"}, "", ErrUnknown},
		{[]string{"Token k1", "Token k1"}, "", ErrMalformed},
		{[]string{"", "Token k1"}, "", ErrMalformed},
		{[]string{"Bearer k1", "Token k1"}, "", ErrMalformed},
		{[]string{""}, "", ErrMalformed},
		{[]string{"Token"}, "", ErrMalformed},
		{[]string{"Token "}, "", ErrMalformed},
		{[]string{"Tokenk1"}, "", ErrMalformed},
		{[]string{"Token\tk1"}, "", ErrMalformed},
		{[]string{"Token k1 k2"}, "", ErrMalformed},
		{[]string{"Bearer k1"}, "", ErrMalformed},
		{[]string{"k1"}, "", ErrMalformed},
	} {
		account, err := Decide(&accounts, false, credential(c.values...), false)
		assert.Equal(t, []any{c.account, c.err}, []any{account.Name, err}, "%q", c.values)
		account, err = Decide(&accounts, true, credential(c.values...), false)
		assert.Equal(t, []any{c.account, nil}, []any{account.Name, err}, "public: %q", c.values)
	}
	_, err := Decide(&accounts, false, credential("Token k1"), true)
	assert.Equal(t, ErrUnconfirmed, err)
	account, err := Decide(&accounts, true, credential("Token k1"), true)
	assert.Equal(t, []any{Account{}, nil}, []any{account, err}, "no key is accepted, and none is needed")
	account, _ = accounts.Find(Digest([]byte("k1")))
	assert.Equal(t, []int{1, 5}, []int{account.Rank(5), Account{}.Rank(5)})
}

// TestFaultsLoseNothingElse guards against one invalid entry that takes other accounts'
// keys away, and against a key that lets two clients in as one.
func TestFaultsLoseNothingElse(t *testing.T) {
	accounts, faults := New([]Entry{
		{Name: "", Keys: keys("k1")},
		{Name: "x\r\ny", Keys: keys("k2")},
		{Name: " x", Keys: keys("k2")},
		{Name: "a", Keys: keys("k3", "shared", "k3")},
		{Name: "b", Keys: keys("shared", "k4")},
		{Name: "c", Keys: keys("shared")},
		{Name: "a", Keys: keys("k5", "k3")},
	})
	assert.Len(t, faults, 6)
	for i, want := range []string{"entry 0", "entry 1", "entry 2", `account "b", entry 4`, `account "c", entry 5`, `account "a", entry 6`} {
		assert.Contains(t, faults[i].String(), want)
	}
	owners := map[string]string{"k1": "", "k2": "", "k3": "a", "shared": "", "k4": "b", "k5": "a"}
	for key, want := range owners {
		account, found := accounts.Find(Digest([]byte(key)))
		assert.Equal(t, []any{want, want != ""}, []any{account.Name, found}, key)
	}
	assert.Equal(t, 3, accounts.Len())
	assert.True(t, accounts.Required())
	var zero Accounts
	assert.False(t, zero.Required())
	empty, _ := New(nil)
	assert.True(t, empty.Required(), "an empty list is configured")
}

// TestSecretsPrintRedacted guards against keys and digests in logs and errors.
func TestSecretsPrintRedacted(t *testing.T) {
	c := credential("Token k1")
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		assert.Equal(t, "[redacted] [redacted]", fmt.Sprintf(verb+" "+verb, c, c.key), verb)
	}
	text, err := json.Marshal(map[string]any{"c": c, "k": c.key, "p": &c})
	assert.NoError(t, err)
	assert.JSONEq(t, `{"c":"[redacted]","k":"[redacted]","p":"[redacted]"}`, string(text))
	k, err := ParseHex(c.key.Hex())
	assert.NoError(t, err)
	assert.True(t, k == c.key)
	for _, text := range []string{"", "k1", c.key.Hex() + "0", "zz" + c.key.Hex()[2:]} {
		_, err := ParseHex(text)
		assert.Equal(t, errDigest, err)
	}
}

// TestFreshness checks when a confirmation ends: an older one must not shorten it.
func TestFreshness(t *testing.T) {
	now := time.Now()
	f := Freshness{Within: 5 * time.Second}
	assert.True(t, f.Expired(now), "never confirmed")
	f.Confirm(now)
	f.Confirm(now.Add(-time.Minute))
	assert.False(t, f.Expired(now.Add(5*time.Second-1)))
	assert.True(t, f.Expired(now.Add(5*time.Second)))
}

// TestFreshnessByPeers guards against confirmations by peers that outlast Within since the
// store was reached, and against ones that are passed on.
func TestFreshnessByPeers(t *testing.T) {
	now := time.Now()
	f := Freshness{Within: 5 * time.Second}
	f.ConfirmByPeer(now, 5*time.Second)
	f.ConfirmByPeer(now, -time.Second)
	assert.True(t, f.Expired(now), "too old, or from the future")
	f.ConfirmByPeer(now, 3*time.Second)
	f.ConfirmByPeer(now, 4*time.Second)
	assert.False(t, f.Expired(now.Add(2*time.Second-1)))
	assert.True(t, f.Expired(now.Add(2*time.Second)))
	_, known := f.Age(now)
	assert.False(t, known, "the store was not reached")
	f.Confirm(now)
	age, known := f.Age(now.Add(time.Second))
	assert.Equal(t, []any{time.Second, true}, []any{age, known})
	_, known = f.Age(now.Add(5 * time.Second))
	assert.False(t, known)
}

// FuzzCredential checks that only the exact key is accepted, and once.
func FuzzCredential(f *testing.F) {
	for _, seed := range []string{"Token secret", " token  secret ", "Token", "Bearer secret", "Token secret x", "Token\x00secret"} {
		f.Add(seed, "secret")
	}
	accounts, _ := New([]Entry{{Name: "a", Keys: keys("secret")}})
	f.Fuzz(func(t *testing.T, value, other string) {
		c := credential(value)
		account, err := Decide(&accounts, false, c, false)
		if (err == nil) != (account.Name == "a") {
			t.Fatalf("account %q with the error %v", account.Name, err)
		}
		if key, ok := cutScheme("Token", []byte(value)); (err == nil) != (ok && string(key) == "secret") {
			t.Fatalf("%q: %v", value, err)
		}
		c.Add("Token", []byte(other))
		if _, err := Decide(&accounts, false, c, false); err != ErrMalformed {
			t.Fatalf("two values: %v", err)
		}
	})
}

// BenchmarkAuthenticate parses a credential and finds its account among 78, as one request
// does.
func BenchmarkAuthenticate(b *testing.B) {
	list := make([]Entry, 78)
	for i := range list {
		list[i] = Entry{Name: fmt.Sprint("account-", i), Keys: keys(fmt.Sprintf("akn2ftimaj3nr26tta%02d", i), fmt.Sprintf("8m82thhkmgjqnirth5%02d", i))}
	}
	accounts, _ := New(list)
	for name, value := range map[string][]byte{"known": []byte("Token akn2ftimaj3nr26tta77"), "unknown": []byte("Token akn2ftimaj3nr26tta78")} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var c Credential
				c.Add("Token", value)
				if _, err := Decide(&accounts, false, c, false); (err == nil) != (name == "known") {
					b.Fatal(err)
				}
			}
		})
	}
}
