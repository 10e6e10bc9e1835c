package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// explainCommand shows where a request would be sent now, and why.
type explainCommand struct {
	node                nodeFlag
	host, path, account string
	tokens              tokensFlag
	parts               partsFlag
	json                bool
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show where a request would be sent now, and why" }

func (*explainCommand) Usage() string {
	return `ebonyscale explain -node ADDRESS -host HOST -path PATH [-account NAME]
    [-tokens IN,OUT] [-parts ID:TOKENS,...] [-json]

Shows where the entry process at ADDRESS would send a request now, and why: the
route, the account and priority, the queues, each backend server of the service
with its load and the reason why it is not used, and the decision. Nothing is
sent, and nothing changes in the process. The view is that of this process; ask
the coordinator that a queue names for its own.

The account is given by name; never give a key. Without -account the request has
no key. Without -tokens the prompt is as long as its -parts.

Example:
  ebonyscale explain -node 10.0.0.7:7660 -host api.example -path /chat/ \
      -account acme -tokens 4000,200 -parts system:1500,user:2500

Exit codes: 0 explained, 1 no explanation, 2 wrong usage.

`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.node.register(f)
	f.StringVar(&c.host, "host", "", "the host that the request is for")
	f.StringVar(&c.path, "path", "", "the request's path, which begins with a slash")
	f.StringVar(&c.account, "account", "", "the name of the client account")
	f.Var(&c.tokens, "tokens", "the number of prompt tokens and the largest one of output tokens, such as 4000,200")
	f.Var(&c.parts, "parts", "the parts of the prompt with their tokens, such as system:1500,user:2500")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// errUsage is the error of a flag that is missing or wrong.
var errUsage = errors.New("wrong usage")

// explainer asks a process for an explanation.
type explainer interface {
	Explain(ctx context.Context, address netip.AddrPort, q *wire.ExplainQuery) (*wire.ExplainAnswer, error)
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	client, err := c.node.client()
	if err != nil {
		fmt.Fprintln(os.Stderr, "explain:", err)
		return subcommands.ExitUsageError
	}
	defer client.Close()
	switch err := c.run(ctx, client, f.Args(), os.Stdout); {
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "explain:", err)
		return subcommands.ExitUsageError
	case err != nil:
		return fail("explain", err)
	}
	return subcommands.ExitSuccess
}

// run asks the process and prints its explanation.
func (c *explainCommand) run(ctx context.Context, e explainer, args []string, out io.Writer) error {
	q, err := c.query(args)
	if err != nil {
		return err
	}
	answer, err := e.Explain(ctx, c.node.address.AddrPort, q)
	if err != nil {
		return c.describe(err)
	}
	var explanation broker.Explanation
	if err := json.Unmarshal(answer.Data, &explanation); err != nil {
		return fmt.Errorf("decode the explanation: %w", err)
	}
	if !c.json {
		_, err = io.WriteString(out, explanation.String())
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(explanation)
}

// query returns the query that the flags describe.
func (c *explainCommand) query(args []string) (*wire.ExplainQuery, error) {
	switch {
	case len(args) > 0:
		return nil, fmt.Errorf("%w: %q is no flag", errUsage, args[0])
	case c.host == "":
		return nil, fmt.Errorf("%w: give the request's host with -host", errUsage)
	case !strings.HasPrefix(c.path, "/"):
		return nil, fmt.Errorf("%w: give the request's path, which begins with a slash, with -path", errUsage)
	}
	for _, f := range []struct{ name, value string }{{"host", c.host}, {"path", c.path}, {"account", c.account}, {"parts", c.parts.String()}} {
		if !utf8.ValidString(f.value) {
			return nil, fmt.Errorf("%w: the value of -%s is not UTF-8", errUsage, f.name)
		}
	}
	sum := uint64(0)
	for _, p := range c.parts {
		sum += uint64(p.Tokens)
	}
	q := &wire.ExplainQuery{Host: c.host, Path: c.path, Account: c.account, PromptTokens: c.tokens.in, MaxOutputTokens: c.tokens.out, Parts: c.parts}
	switch {
	case sum > maxPromptTokens:
		return nil, fmt.Errorf("%w: -parts has %d tokens, more than %d", errUsage, sum, maxPromptTokens)
	case !c.tokens.given:
		q.PromptTokens = uint32(sum)
	case sum > uint64(c.tokens.in):
		return nil, fmt.Errorf("%w: -parts has %d tokens, but -tokens says that the prompt has %d", errUsage, sum, c.tokens.in)
	}
	return q, nil
}

// describe names the flags that an error of the process is about.
func (c *explainCommand) describe(err error) error {
	switch {
	case errors.Is(err, link.ErrNoRoute):
		return fmt.Errorf("-host %s -path %s: %w", c.host, c.path, err)
	case errors.Is(err, link.ErrNoAccount):
		return fmt.Errorf("-account %s: %w", c.account, err)
	}
	return fmt.Errorf("-node %s: %w", c.node.address.AddrPort, err)
}

// maxPromptTokens bounds the numbers of tokens in flags.
const maxPromptTokens = 1 << 24

// parseTokens parses a number of tokens.
func parseTokens(text string) (uint32, error) {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n > maxPromptTokens {
		return 0, fmt.Errorf("%q is no number of tokens from 0 to %d", text, maxPromptTokens)
	}
	return uint32(n), nil
}

// tokensFlag is the -tokens flag.
type tokensFlag struct {
	given   bool
	in, out uint32
}

// String implements flag.Value.
func (t *tokensFlag) String() string {
	if !t.given {
		return ""
	}
	return fmt.Sprintf("%d,%d", t.in, t.out)
}

// Set implements flag.Value.
func (t *tokensFlag) Set(text string) error {
	in, out, found := strings.Cut(text, ",")
	if !found {
		return errors.New("must be IN,OUT, two numbers of tokens with a comma between them")
	}
	var err error
	if t.in, err = parseTokens(in); err != nil {
		return err
	}
	if t.out, err = parseTokens(out); err != nil {
		return err
	}
	t.given = true
	return nil
}

// partsFlag is the -parts flag.
type partsFlag []*wire.PromptPart

// String implements flag.Value.
func (p *partsFlag) String() string {
	list := make([]string, 0, len(*p))
	for _, part := range *p {
		list = append(list, fmt.Sprintf("%s:%d", part.ID, part.Tokens))
	}
	return strings.Join(list, ",")
}

// Set implements flag.Value. An ID may have colons.
func (p *partsFlag) Set(text string) error {
	*p = nil
	for _, item := range strings.Split(text, ",") {
		colon := strings.LastIndexByte(item, ':')
		if colon <= 0 {
			return fmt.Errorf("%q is not ID:TOKENS", item)
		}
		tokens, err := parseTokens(item[colon+1:])
		if err != nil {
			return fmt.Errorf("part %q: %w", item[:colon], err)
		}
		*p = append(*p, &wire.PromptPart{ID: []byte(item[:colon]), Tokens: tokens})
	}
	return nil
}
