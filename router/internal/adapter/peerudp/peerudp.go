// Package peerudp carries messages between instances as JSON: states in single datagrams, copies of the configuration over
// HTTP on the same address.
package peerudp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/router/internal/app/gossip"
)

const (
	// maxDatagram is the largest UDP datagram over IPv4.
	maxDatagram = 65507
	pathState   = "/state"
	// serverTimeout bounds a request of another instance.
	serverTimeout = 3 * time.Second
	// maxState bounds the state of another instance: a configuration of 1 MB and as much for the endpoints, with some reserve.
	maxState = 4 << 20
	// maxStateAnswers is the number of states that are sent at a time. Each may take 1 MB, and many instances may ask at
	// once when they start without the platform; the others are told to ask again.
	maxStateAnswers = 4
	// stateValidity is how long an encoded state serves further questions.
	stateValidity = 200 * time.Millisecond
)

// Transport is the sockets of an instance for messages to others.
type Transport struct {
	conn     *net.UDPConn
	listener net.Listener
	client   *h1.Client
	signer   signer
	logger   *log.Logger
}

// Listen opens the sockets at the address, an IP:PORT that is free for TCP and UDP.
func Listen(ctx context.Context, address string, silence time.Duration, logger *log.Logger) (*Transport, error) {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("peerudp: the address %q cannot be used; give IP:PORT: %w", address, err)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, fmt.Errorf("peerudp: cannot listen; choose a free address: %w", err)
	}
	config := h1.ListenConfig(silence)
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("peerudp: cannot listen; choose a free address: %w", err), conn.Close())
	}
	client := h1.NewClient(h1.Options{DialTimeout: serverTimeout, SilenceTimeout: silence})
	return &Transport{conn: conn, listener: listener, client: client, logger: logger}, nil
}

// SetSecrets replaces the secrets that all instances share. The first one signs messages, each is accepted, so that secrets can be
// changed instance by instance. Without any, every message is believed.
func (t *Transport) SetSecrets(secrets []string) { t.signer.set(secrets) }

// Send implements gossip.Transport. The message is encoded once.
func (t *Transport) Send(addresses []string, m gossip.Message) error {
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	data = t.signer.seal(data)
	if len(data) > maxDatagram {
		return fmt.Errorf("peerudp: the message has %d bytes and does not fit into a datagram", len(data))
	}
	var failures error
	for _, address := range addresses {
		to, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = t.conn.WriteToUDPAddrPort(data, to)
		}
		if err != nil {
			failures = err // one stands for all, which mostly fail for the same reason
		}
	}
	return failures
}

// Fetch implements gossip.Transport.
func (t *Transport) Fetch(ctx context.Context, address string) (gossip.State, error) {
	header := http.Header{headerSignature: {t.signer.signText([]byte(pathState))}}
	resp, err := t.client.Do(ctx, address, 0, &h1.Request{Method: http.MethodGet, Target: pathState, Host: address, Header: header})
	if err != nil {
		return gossip.State{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return gossip.State{}, fmt.Errorf("peerudp: %s answered with status %d", address, resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxState))
	if err == nil && !t.signer.checkText(resp.Header.Get(headerSignature), raw) {
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

// Serve passes messages to hear and answers questions with state, until Close.
func (t *Transport) Serve(hear func(gossip.Message), state func() gossip.State) {
	mux := http.NewServeMux()
	mux.Handle("GET "+pathState, &stateHandler{state: state, signer: &t.signer, logger: t.logger, places: make(chan struct{}, maxStateAnswers)})
	server := &http.Server{Handler: mux, ReadTimeout: serverTimeout, WriteTimeout: serverTimeout, IdleTimeout: serverTimeout}
	go func() {
		if err := server.Serve(t.listener); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			t.logger.Error().Str("event", "peers.not_served").Err(err).Msg("")
		}
	}()
	t.receive(hear)
}

func (t *Transport) receive(hear func(gossip.Message)) {
	buffer := make([]byte, maxDatagram)
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
		content, err := t.signer.open(buffer[:n])
		if err == nil {
			err = json.Unmarshal(content, &m)
		}
		if err != nil {
			t.logger.Warn().Str("event", "message.refused").Str("from", from.String()).Err(err).Msg("")
			continue
		}
		t.pass(m, hear)
	}
}

// pass hands a message on. A message that cannot be handled must not end the process, which serves callers.
func (t *Transport) pass(m gossip.Message, hear func(gossip.Message)) {
	defer func() {
		if cause := recover(); cause != nil {
			t.logger.Error().Str("event", "message.panic").Str("peer", m.Sender.Name).Any("cause", cause).Str("stack", string(debug.Stack())).Msg("the message is dropped")
		}
	}()
	hear(m)
}

// Close closes the sockets.
func (t *Transport) Close() error { return errors.Join(t.conn.Close(), t.listener.Close()) }
