// Package peerudp exchanges JSON messages between instances: gossip messages as single UDP datagrams, and the full state with the
// configuration over HTTP on the same address.
package peerudp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/deadpeer"
	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/router/internal/adapter/clientlimit"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/routingcache"
)

const (
	// maxDatagramBytes is the largest payload of a UDP datagram over IPv4.
	maxDatagramBytes = 65507
	statePath        = "/state"
	// stateRequestTimeout limits dialing another instance, and reading and answering a request on the server side.
	stateRequestTimeout = 3 * time.Second
	// maxStateBytes limits the state that is read from another instance: 1 MB of configuration and 1 MB of endpoints, plus headroom.
	maxStateBytes = 4 << 20
	// maxConcurrentStateResponses limits the state responses in progress. Each may take 1 MB, and many instances may ask at the
	// same time when they start without the platform; further requests get 503 and have to be repeated.
	maxConcurrentStateResponses = 4
	// maxConcurrentNewerResponses limits the responses to instances that name what they have. Most hold a few changes, and larger
	// ones share an encoding.
	maxConcurrentNewerResponses = 64
	// stateCacheTTL is how long an encoded state is reused for further requests.
	stateCacheTTL = 200 * time.Millisecond
)

// Transport implements gossip.Transport with the UDP and TCP sockets of an instance.
type Transport struct {
	conn     *net.UDPConn
	listener net.Listener
	client   *h1.Client
	memory   *membudget.Budget
	clients  *clientlimit.Options
	signer   signer
	refusals sparseLog
	logger   *log.Logger
}

// Listen opens the UDP and TCP sockets at the address, which has the form IP:PORT.
func Listen(ctx context.Context, address string, silenceTimeout time.Duration, logger *log.Logger) (*Transport, error) {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("peerudp: the address %q cannot be used; give IP:PORT: %w", address, err)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, fmt.Errorf("peerudp: cannot listen; choose a free address: %w", err)
	}
	detector := deadpeer.New(deadpeer.Options{Silence: silenceTimeout, MaxPause: stateRequestTimeout})
	listener, err := detector.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("peerudp: cannot listen; choose a free address: %w", err), conn.Close())
	}
	client := h1.NewClient(h1.Options{DialTimeout: stateRequestTimeout, SilenceTimeout: silenceTimeout})
	return &Transport{conn: conn, listener: listener, client: client, logger: logger}, nil
}

// LimitMemory has the states of other instances take their memory out of a budget while they are read. It must be called before the first
// Fetch.
func (t *Transport) LimitMemory(b *membudget.Budget) {
	t.memory = b
	t.client.LimitMemory(b)
}

// LimitClients bounds what clients of the state may take. It must be called before Serve.
func (t *Transport) LimitClients(o clientlimit.Options) { t.clients = &o }

// SetSecrets replaces the secrets that all instances share. The first one signs messages and each of them verifies messages, so that
// secrets can be rotated instance by instance. Without secrets, messages are not authenticated.
func (t *Transport) SetSecrets(secrets []string) { t.signer.setSecrets(secrets) }

// Send implements gossip.Transport. The message is encoded once for all addresses.
func (t *Transport) Send(addresses []string, m gossip.Message) error {
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	data = t.signer.signDatagram(data)
	if len(data) > maxDatagramBytes {
		return fmt.Errorf("peerudp: the message of %d bytes exceeds the maximum datagram size", len(data))
	}
	var failures error
	for _, address := range addresses {
		to, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = t.conn.WriteToUDPAddrPort(data, to)
		}
		if err != nil {
			failures = err // only the last error is returned, since most sends fail for the same reason
		}
	}
	return failures
}

// Fetch implements gossip.Transport.
func (t *Transport) Fetch(ctx context.Context, address string) (gossip.State, error) {
	return t.fetch(ctx, address, statePath)
}

// FetchNewer implements gossip.Transport. Instances of earlier versions ignore the query.
func (t *Transport) FetchNewer(ctx context.Context, address string, known routingcache.Known) (gossip.State, error) {
	return t.fetch(ctx, address, statePath+"?"+encodeKnown(known))
}

func (t *Transport) fetch(ctx context.Context, address, target string) (gossip.State, error) {
	header := http.Header{signatureHeader: {t.signer.signHex([]byte(statePath))}}
	resp, err := t.client.Do(ctx, address, 0, &h1.Request{Method: http.MethodGet, Target: target, Host: address, Header: header})
	if err != nil {
		return gossip.State{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return gossip.State{}, fmt.Errorf("peerudp: %s answered with status %d", address, resp.StatusCode)
	}
	held := t.memory.Open()
	defer held.Close()
	raw, err := membudget.ReadAll(resp.Body, maxStateBytes, &held)
	if err == nil && !t.signer.verifyHex(resp.Header.Get(signatureHeader), raw) {
		err = errSignature
	}
	var state gossip.State
	if err == nil {
		err = json.Unmarshal(raw, &state)
	}
	if err != nil {
		return gossip.State{}, fmt.Errorf("peerudp: the state of %s cannot be read: %w", address, err)
	}
	return state, nil
}

// Serve passes received messages to onMessage and answers state requests with the result of state, or with that of newer if they name what
// the other instance has. It returns after Close.
func (t *Transport) Serve(onMessage func(gossip.Message), state func() gossip.State, newer func(routingcache.Known) gossip.State) {
	mux := http.NewServeMux()
	mux.Handle("GET "+statePath, &stateHandler{
		state: state, newer: newer, signer: &t.signer, logger: t.logger, semaphore: make(chan struct{}, maxConcurrentStateResponses),
		newerSemaphore: make(chan struct{}, maxConcurrentNewerResponses), recent: map[recentKey]recentState{},
	})
	server := &http.Server{Handler: mux, ReadTimeout: stateRequestTimeout, WriteTimeout: stateRequestTimeout, IdleTimeout: stateRequestTimeout}
	listener := t.listener
	if t.clients != nil {
		limited := clientlimit.Listen(t.listener, *t.clients)
		limited.Configure(server)
		listener = limited
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			t.logger.Error().Str("event", "peers.not_served").Err(err).Msg("")
		}
	}()
	t.receive(onMessage)
}

func (t *Transport) receive(onMessage func(gossip.Message)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.logger.Warn().Str("event", "message.not_received").Err(err).Msg("")
			continue
		}
		var m gossip.Message
		content, err := t.signer.verifyDatagram(buffer[:n])
		if err == nil {
			err = json.Unmarshal(content, &m)
		}
		if err != nil {
			if skipped, ok := t.refusals.due(); ok {
				t.logger.Warn().Str("event", "message.refused").Str("from", from.String()).Int64("skipped", skipped).Err(err).Msg("")
			}
			continue
		}
		t.deliver(m, onMessage)
	}
}

// deliver passes a message to onMessage. It recovers from a panic, so that a bad message does not end the process.
func (t *Transport) deliver(m gossip.Message, onMessage func(gossip.Message)) {
	defer func() {
		if cause := recover(); cause != nil {
			t.logger.Error().Str("event", "message.panic").Str("peer", m.Sender.Name).Any("cause", cause).Str("stack", string(debug.Stack())).Msg("dropped a message whose handling panicked")
		}
	}()
	onMessage(m)
}

// Close closes the sockets.
func (t *Transport) Close() error { return errors.Join(t.conn.Close(), t.listener.Close()) }
