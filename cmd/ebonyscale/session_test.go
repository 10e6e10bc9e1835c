package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	sample "ebonyscale.example/ebonyscale/examples"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/node/proc"
	"ebonyscale.example/ebonyscale/internal/stand/scene"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

var update = flag.Bool("update", false, "overwrite the golden files")

// fixture is an example deployment with its stand-ins and one process, on loopback.
type fixture struct {
	name      string
	scene     *scene.Scene
	process   *proc.Process
	directory string
	ctx       context.Context
}

// networks are the address prefixes of the deployments. They differ from those
// of the examples, so that a demo can run at the same time as the tests.
var networks = map[string]string{"Malabar": "127.0.61.", "Quetzal": "127.0.62."}

func newFixture(t *testing.T, name string) *fixture {
	s := &fixture{name: name, directory: t.TempDir()}
	network := networks[name]
	files, err := sample.Files(name)
	require.NoError(t, err)
	for i, f := range files {
		files[i].Data = regexp.MustCompile(`127\.0\.\d+\.`).ReplaceAll(f.Data, []byte(network))
		require.NoError(t, os.WriteFile(filepath.Join(s.directory, f.Name), files[i].Data, 0o600))
	}
	deployment, err := spec.Parse(files)
	require.NoError(t, err)
	address := func(host string, port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr(network+host), port)
	}
	zone := deployment.Servers[0].AvailabilityZone
	s.scene = &scene.Scene{
		Deployment: deployment, PlatformAddress: address("250", 7000), Vendor: "Instant",
		Entries: []store.VM{{Name: "entry-1", AvailabilityZone: zone, Address: address("200", 0).Addr(), Entry: true}},
	}
	require.NoError(t, s.scene.Listen(scene.Everything))
	t.Cleanup(s.scene.Close)
	ctx, cancel := context.WithCancel(t.Context())
	s.ctx = ctx
	s.scene.Start(ctx)
	settings := setup.Default()
	settings.Node = setup.Node{Name: "entry-1", AvailabilityZone: zone, Deployment: deployment.Name}
	settings.Addresses = setup.Addresses{Callers: address("200", 8180), Operators: address("200", 8181), Peers: address("200", 8182)}
	settings.Platform.Address = s.scene.PlatformAddress
	settings.Limits.MaxBody, settings.Limits.MaxHeader = 64<<10, 4<<10
	settings.Limits.HeaderTimeout = 500 * time.Millisecond
	s.process = &proc.Process{Settings: settings, Log: zap.NewNop(), Level: zap.NewAtomicLevel()}
	require.NoError(t, s.process.Listen())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.process.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// applyAndWait applies the deployment and waits until the process is ready.
func (s *fixture) applyAndWait(t *testing.T) {
	files, err := readDirectory(s.directory)
	require.NoError(t, err)
	_, err = apply.Apply(s.ctx, s.scene.Platform, files, apply.Request{Author: "test"})
	require.NoError(t, err)
	s.awaitReady(t)
}

// awaitReady waits until the process is ready.
func (s *fixture) awaitReady(t *testing.T) {
	require.Eventually(t, s.process.Node.Ready, 30*time.Second, 10*time.Millisecond)
}

// exchange sends text on a connection of its own, unchanged, and returns all
// that the process writes until it closes the connection. After a text that ends
// with "(end)" it closes the sending side.
func (s *fixture) exchange(t *testing.T, text string) string {
	conn, err := net.Dial("tcp", s.process.Settings.Addresses.Callers.String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	_, _ = conn.Write([]byte(text))
	if tcp, ok := conn.(*net.TCPConn); ok && strings.HasSuffix(text, "(end)") {
		_ = tcp.CloseWrite()
	}
	response, _ := io.ReadAll(conn)
	return string(response)
}

// volatile are the parts of a session that differ from run to run, and their
// replacements.
var volatile = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`entry-1-[0-9a-f]+-[0-9a-z]+`), "REQUEST"},
	{regexp.MustCompile(`(?m)^Date: .*\r?\n`), ""},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`"At": "[^"]*"`), `"At": "TIME"`},
	{regexp.MustCompile(`[A-Z][a-z]{2} [ \d]\d \d\d:\d\d:\d\d\.\d+`), "TIME"},
	{regexp.MustCompile(`127\.0\.6\d\.`), "127.0.N."},
	{regexp.MustCompile(`\d+ ms after`), "N ms after"},
	{regexp.MustCompile(`\d+(\.\d+)?(ms|µs|s) after it`), "D after it"},
	{regexp.MustCompile(`first \d\S* gap \d\S*`), "first D gap D"},
	{regexp.MustCompile(`"server":"[^"]*","number":\d+`), `"server":"S","number":N`},
	{regexp.MustCompile(`\b\d+ms\b`), "Nms"},
}

// normalize replaces the volatile parts, and CR LF by LF.
func normalize(text string) string {
	for _, u := range volatile {
		text = u.pattern.ReplaceAllString(text, u.text)
	}
	return strings.ReplaceAll(text, "\r\n", "\n")
}

// golden compares a session with its golden file.
func golden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), got)
}

func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s", path, len(body), headers, body)
}

func get(path, headers string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s\r\n", path, headers)
}

// step is one request of a client's session.
type step struct{ title, request string }

// clientSteps is a client's session with valid and invalid requests.
func clientSteps(model, prefix, read string) []step {
	chat := func(extra string) string {
		return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"motor 7 മോട്ടോർ"}],"max_tokens":4%s}`, model, extra)
	}
	const path = "/v1/chat/completions"
	return []step{
		{"models", get("/v1/models", "")},
		{"chat, streamed", post(path, "X-Account: a\r\nX-Priority: 2\r\n", chat(`,"stream":true`))},
		{"chat, whole", post(path, "", chat(""))},
		{"completion, whole", post("/v1/completions", "", fmt.Sprintf(`{"model":%q,"prompt":"hub motor","max_tokens":3}`, model))},
		{"keyed call", post(prefix+"orders", "Idempotency-Key: k1\r\n", `{"Claim":"c1"}`)},
		{"keyed call again", post(prefix+"orders", "Idempotency-Key: k1\r\n", `{"Claim":"c1"}`)},
		{"same key, other call", post(prefix+"orders", "Idempotency-Key: k1\r\n", `{"Claim":"c2"}`)},
		{"idempotent call", get(read, "")},
		{"unknown path", get("/nowhere", "")},
		{"unknown model", post(path, "", `{"model":"none","messages":[{"role":"user","content":"x"}]}`)},
		{"no JSON", post(path, "", `{"model":`)},
		{"JSON of another kind", post(path, "", `[1]`)},
		{"no UTF-8", post(path, "", "{\"model\":\"\xff\"}")},
		{"no messages", post(path, "", fmt.Sprintf(`{"model":%q}`, model))},
		{"negative tokens", post(path, "", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":-1}`, model))},
		{"huge tokens", post(path, "", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":99999999999999999999}`, model))},
		{"too many tokens", post(path, "", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":70000}`, model))},
		{"wrong type of stream", post(path, "", chat(`,"stream":"yes"`))},
		{"deadline in the past", post(path, "X-Deadline-Ms: -5\r\n", chat(""))},
		{"deadline of words", post(path, "X-Deadline-Ms: soon\r\n", chat(""))},
		{"huge deadline", post(path, "X-Deadline-Ms: 99999999999999999999\r\n", chat(""))},
		// The response takes far longer than this long deadline. A deadline of a
		// millisecond could have passed before a busy machine reads the request.
		{"unmeetable deadline", post(path, "X-Deadline-Ms: 250\r\n", fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"x"}],"max_tokens":80}`, model))},
		{"priority out of bounds", post(path, "X-Priority: 1000\r\n", chat(""))},
		{"header given twice", post(path, "X-Account: a\r\nX-Account: b\r\n", chat(""))},
		{"wrong method", get(path, "")},
		{"body over the limit", post(path, "", strings.Repeat("x", 80<<10))},
		{"header over the limit", get("/v1/models", "X-Long: "+strings.Repeat("y", 8<<10)+"\r\n")},
		{"malformed HTTP", "NONSENSE\r\n\r\n"},
		{"slow caller", "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{"},
	}
}

// TestClientSession checks that the responses to valid and invalid requests match
// the golden files and that no invalid request reaches an engine.
func TestClientSession(t *testing.T) {
	for name, parts := range map[string][3]string{
		"Malabar": {"verdict-llm", "/jobs/", "/jobs/records/7"},
		"Quetzal": {"quetzal-lm", "/store/", "/store/watchlist/7"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, name)
			s.applyAndWait(t)
			var text strings.Builder
			for _, step := range clientSteps(parts[0], parts[1], parts[2]) {
				response := normalize(unchunk(t, s.exchange(t, step.request)))
				fmt.Fprintf(&text, "== %s\n%s\n", step.title, sortHeader(response))
			}
			golden(t, strings.ToLower(name)+"-caller.txt", text.String())
			for _, e := range s.scene.Engines {
				assert.Empty(t, e.Recorded().Refused, "no invalid request reaches an engine")
			}
		})
	}
}

// unchunk joins the chunks of a streamed response. How many events are in one
// chunk depends on how many had arrived together, but each chunk must end with
// an event, and nothing may follow the last chunk.
func unchunk(t *testing.T, response string) string {
	head, rest, _ := strings.Cut(response, "\r\n\r\n")
	if !strings.Contains(head, "Transfer-Encoding: chunked") {
		return response
	}
	var body strings.Builder
	for {
		line, after, found := strings.Cut(rest, "\r\n")
		require.True(t, found, "a chunk begins with its size: %q", rest)
		size, err := strconv.ParseUint(line, 16, 31)
		require.NoError(t, err, "size of a chunk")
		require.GreaterOrEqual(t, len(after), int(size)+2, "a chunk is whole")
		chunk := after[:size]
		require.Equal(t, "\r\n", after[size:size+2], "a chunk ends with a line end")
		rest = after[size+2:]
		if size == 0 {
			require.Empty(t, rest, "nothing follows the last chunk")
			return head + "\r\n\r\n" + body.String()
		}
		require.True(t, strings.HasSuffix(chunk, "\n\n"), "a chunk ends with an event: %q", chunk)
		body.WriteString(chunk)
	}
}

// sortHeader sorts the lines of the header, whose order is not fixed.
func sortHeader(response string) string {
	head, body, _ := strings.Cut(response, "\n\n")
	lines := strings.Split(head, "\n")
	if len(lines) > 1 {
		sort.Strings(lines[1:])
	}
	return strings.Join(lines, "\n") + "\n\n" + body
}

// runCommand runs a command as main does and returns its output and exit code.
// It redirects os.Stdout and os.Stderr meanwhile.
func runCommand(ctx context.Context, command subcommands.Command, arguments ...string) string {
	flags := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
	command.SetFlags(flags)
	out, errs := os.Stdout, os.Stderr
	r, w, err := os.Pipe()
	if err != nil {
		return err.Error()
	}
	os.Stdout, os.Stderr = w, w
	flags.SetOutput(w)
	printed := make(chan string)
	go func() {
		var b bytes.Buffer
		_, _ = b.ReadFrom(r)
		printed <- b.String()
	}()
	code := subcommands.ExitUsageError
	if flags.Parse(arguments) == nil {
		code = command.Execute(ctx, flags)
	}
	w.Close()
	os.Stdout, os.Stderr = out, errs
	return fmt.Sprintf("== %s %s\n%s(exit code %d)\n\n", command.Name(), strings.Join(arguments, " "), <-printed, code)
}

// TestOperatorSession checks that the output and the exit codes of the operators'
// commands match the golden files.
func TestOperatorSession(t *testing.T) {
	for _, name := range sample.Names {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, name)
			platform := s.scene.PlatformAddress.String()
			node := s.process.Settings.Addresses.Peers.String()
			deployment := strings.ToLower(name)
			engine := s.scene.Deployment.Servers[6].Name
			faulty := t.TempDir()
			writeFaulty(t, s.directory, faulty)
			var text strings.Builder
			do := func(command subcommands.Command, arguments ...string) {
				text.WriteString(runCommand(s.ctx, command, arguments...))
			}
			do(&checkCommand{}, s.directory)
			do(&checkCommand{}, faulty)
			do(&checkCommand{output: outputFlag{"Json"}}, faulty)
			do(&applyCommand{}, "-platform", platform, "-author", "asha", s.directory)
			s.awaitReady(t)
			do(&applyCommand{}, "-platform", platform, "-base", "1", faulty)
			do(&applyCommand{}, "-platform", platform, "-base", "0", "-author", "late", s.directory)
			edit(t, s.directory, "TokenGap = 50ms", "TokenGap = 45ms")
			do(&diffCommand{}, "-platform", platform, s.directory)
			do(&applyCommand{}, "-platform", platform, "-base", "1", "-author", "ravi", "-node", node, s.directory)
			do(&diffCommand{}, "-platform", platform, s.directory)
			do(&historyCommand{}, "-platform", platform, "-deployment", deployment)
			do(&getCommand{}, "-platform", platform, "-deployment", deployment, "-version", "9")
			do(&drainCommand{}, "-node", node, engine)
			do(&timelineCommand{}, "-node", node, "-kind", "LeavingSet")
			do(&drainCommand{undo: true}, "-node", node, engine)
			do(&timelineCommand{}, "-node", node, "-engine", engine)
			do(&timelineCommand{}, "-node", node, "-kind", "ConfigInForce")
			do(&statusCommand{})
			do(&applyCommand{}, "-platform", "nowhere", s.directory)
			got := strings.ReplaceAll(strings.ReplaceAll(text.String(), s.directory, "DIR"), faulty, "FAULTY")
			golden(t, deployment+"-operator.txt", normalize(got))
			status := runCommand(s.ctx, &statusCommand{}, "-node", node)
			assert.Contains(t, status, engine)
			assert.Contains(t, status, "entry-1")
			assert.Contains(t, status, "(exit code 0)")
		})
	}
}

// edit replaces text in the deployment's main file.
func edit(t *testing.T, directory, before, after string) {
	path := filepath.Join(directory, "deployment.ini")
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(data), before)
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(data), before, after, 1)), 0o600))
}

// writeFaulty copies a deployment and inserts five faults.
func writeFaulty(t *testing.T, from, to string) {
	paths, err := filepath.Glob(filepath.Join(from, "*.ini"))
	require.NoError(t, err)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		text := strings.Replace(string(data), "RetryShare = 0.1", "RetryShare = 7\nGoodputWieght = 1", 1)
		text = strings.Replace(text, "Role = Mixed", "Role = Both", 1)
		text = strings.Replace(text, "Slots = 16", "Slots = many", 1)
		text = strings.Replace(text, "\n[Account", "\n[Acount x]\n\n[Account", 1)
		require.NoError(t, os.WriteFile(filepath.Join(to, filepath.Base(path)), []byte(text), 0o600))
	}
}

// TestOperatorsListener checks the operators' address. A process without a
// configuration must be healthy but not ready.
func TestOperatorsListener(t *testing.T) {
	s := newFixture(t, "Malabar")
	query := func(path string) (int, string) {
		response, err := http.Get("http://" + s.process.Settings.Addresses.Operators.String() + path)
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(body)
	}
	code, _ := query("/readyz")
	assert.Equal(t, 503, code, "no configuration is active yet")
	code, _ = query("/healthz")
	assert.Equal(t, 200, code)
	s.applyAndWait(t)
	code, _ = query("/readyz")
	assert.Equal(t, 200, code)
	_, vars := query("/debug/vars")
	assert.Contains(t, vars, "ConfigVersion")
	code, _ = query("/nowhere")
	assert.Equal(t, 404, code)
}
