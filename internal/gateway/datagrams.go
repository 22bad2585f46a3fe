package gateway

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// maxDatagramBytes fits a packet of the usual network.
	maxDatagramBytes = 1400
	// datagramOverheadBytes of a datagram's own headers.
	datagramOverheadBytes = 28
)

// errNoDatagramPort tells that the port for words between entries is not open.
var errNoDatagramPort = eris.New("no port for datagrams")

// datagrams carries words between entries that are worth nothing once late.
// All entries use one port.
type datagrams struct {
	gateway *Gateway
	// conn is nil without a port.
	conn *net.UDPConn
}

// startDatagrams opens the port; without one entries tell each other nothing.
func (g *Gateway) startDatagrams(ctx context.Context) {
	d := &datagrams{gateway: g}
	g.datagrams = d
	if g.settings.HintAddress == "" {
		return
	}
	address, err := net.ResolveUDPAddr("udp4", g.settings.HintAddress)
	if err != nil {
		klog.ErrorS(err, "No datagrams", "address", g.settings.HintAddress)
		return
	}
	if d.conn, err = net.ListenUDP("udp4", address); err != nil {
		klog.ErrorS(err, "No datagrams", "address", g.settings.HintAddress)
		d.conn = nil
		return
	}
	g.spawn(d.receive)
	g.spawn(func() {
		<-ctx.Done()
		_ = d.conn.Close() // It ends receive.
	})
}

// addressOf an entry that is called at a control address; nil when it is none.
func (d *datagrams) addressOf(control string) *net.UDPAddr {
	host, _, err := net.SplitHostPort(control)
	if err != nil || d.conn == nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return nil
	}
	return &net.UDPAddr{IP: ip, Port: d.conn.LocalAddr().(*net.UDPAddr).Port}
}

// addressesOf entries that are called at control addresses; others are left out.
func (d *datagrams) addressesOf(controls []string) []*net.UDPAddr {
	var addresses []*net.UDPAddr
	for _, control := range controls {
		if address := d.addressOf(control); address != nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// encode makes the bytes of a word.
func (d *datagrams) encode(word *jayv1.Datagram) ([]byte, error) {
	if d.conn == nil {
		return nil, errNoDatagramPort
	}
	text, err := proto.Marshal(word)
	if err != nil {
		return nil, eris.Wrap(err, "encode datagram")
	}
	if len(text) > maxDatagramBytes {
		return nil, eris.Errorf("datagram of %d bytes is too long", len(text))
	}
	return text, nil
}

// send tells one entry.
func (d *datagrams) send(to *net.UDPAddr, word *jayv1.Datagram) error {
	text, err := d.encode(word)
	if err != nil {
		return err
	}
	if to == nil {
		return errNoDatagramPort
	}
	_, err = d.conn.WriteToUDP(text, to)
	return err
}

// trySend is send for words of which a lost one costs little: failures are counted.
func (d *datagrams) trySend(to *net.UDPAddr, word *jayv1.Datagram) {
	if err := d.send(to, word); err != nil {
		d.gateway.metrics.Count("datagrams", "not_sent", 1)
	}
}

// trySendAll is tell for several entries.
func (d *datagrams) trySendAll(targets []*net.UDPAddr, word *jayv1.Datagram) {
	text, err := d.encode(word)
	if err != nil {
		d.gateway.metrics.Count("datagrams", "not_sent", int64(len(targets)))
		return
	}
	for _, target := range targets {
		if _, err := d.conn.WriteToUDP(text, target); err != nil {
			d.gateway.metrics.Count("datagrams", "not_sent", 1)
		}
	}
}

func (d *datagrams) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := d.conn.ReadFromUDP(buffer)
		if err != nil {
			klog.V(1).InfoS("Datagrams end", "err", err)
			return
		}
		word := &jayv1.Datagram{}
		if err := proto.Unmarshal(buffer[:n], word); err != nil {
			d.gateway.metrics.Count("datagrams", "malformed", 1)
			continue
		}
		d.handle(word, from)
	}
}

func (d *datagrams) handle(word *jayv1.Datagram, from *net.UDPAddr) {
	g := d.gateway
	switch body := word.GetBody().(type) {
	case *jayv1.Datagram_Hints:
		g.hints.receive(body.Hints)
	case *jayv1.Datagram_Ask:
		offer := g.state.offer(time.Now(), body.Ask)
		d.trySend(from, &jayv1.Datagram{Body: &jayv1.Datagram_Offer{Offer: offer}})
	case *jayv1.Datagram_Offer:
		g.placing.answered(body.Offer, from)
	case *jayv1.Datagram_Progress:
		g.state.applyProgress(time.Now(), body.Progress)
	case *jayv1.Datagram_Switches:
		g.receiveSwitches(body.Switches)
	case *jayv1.Datagram_Strikes:
		g.takeStrikes(body.Strikes, from.String())
	default:
		g.metrics.Count("datagrams", "unknown", 1)
	}
}
