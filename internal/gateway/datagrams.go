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
	// maxDatagramBytes fits into a packet of the usual MTU of 1500 bytes.
	maxDatagramBytes = 1400
	// datagramOverheadBytes is the size of the IP and UDP headers.
	datagramOverheadBytes = 28
)

// errNoDatagramPort is returned if this entry's port is not open or the peer's address is
// not an IP address.
var errNoDatagramPort = eris.New("datagram port not open, or peer address is not an IP address")

// datagrams carries messages between entries that are worthless once late. All entries use
// the same port number.
type datagrams struct {
	gateway *Gateway
	// conn is nil if the port is not open.
	conn *net.UDPConn
}

// startDatagrams opens the port. Without it entries exchange no datagrams.
func (g *Gateway) startDatagrams(ctx context.Context) {
	d := &datagrams{gateway: g}
	g.datagrams = d
	if g.settings.HintAddress == "" {
		return
	}
	address, err := net.ResolveUDPAddr("udp4", g.settings.HintAddress)
	if err != nil {
		klog.ErrorS(err, "Invalid datagram address; no datagrams are exchanged", "address", g.settings.HintAddress)
		return
	}
	if d.conn, err = net.ListenUDP("udp4", address); err != nil {
		klog.ErrorS(err, "Datagram port not opened; no datagrams are exchanged", "address", g.settings.HintAddress)
		d.conn = nil
		return
	}
	g.spawn(d.receive)
	g.spawn(func() {
		<-ctx.Done()
		_ = d.conn.Close() // Makes receive return.
	})
}

// addressOf returns the datagram address of the entry with a control address, or nil if
// that is not an IP address or the port is not open.
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

// addressesOf returns the datagram addresses of entries with control addresses, without
// those for which there is none.
func (d *datagrams) addressesOf(controls []string) []*net.UDPAddr {
	var addresses []*net.UDPAddr
	for _, control := range controls {
		if address := d.addressOf(control); address != nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// encode returns the encoded message.
func (d *datagrams) encode(message *jayv1.Datagram) ([]byte, error) {
	if d.conn == nil {
		return nil, errNoDatagramPort
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "encode datagram")
	}
	if len(data) > maxDatagramBytes {
		return nil, eris.Errorf("datagram too long: %d bytes", len(data))
	}
	return data, nil
}

// send sends a message to one entry.
func (d *datagrams) send(to *net.UDPAddr, message *jayv1.Datagram) error {
	data, err := d.encode(message)
	if err != nil {
		return err
	}
	if to == nil {
		return errNoDatagramPort
	}
	d.gateway.load.datagramsOut.add(len(data) + datagramOverheadBytes)
	_, err = d.conn.WriteToUDP(data, to)
	return err
}

// trySend is send for messages whose loss is acceptable. Failures are counted.
func (d *datagrams) trySend(to *net.UDPAddr, message *jayv1.Datagram) {
	if err := d.send(to, message); err != nil {
		d.gateway.metrics.Count("datagrams", "not_sent", 1)
	}
}

// trySendAll is trySend to several entries.
func (d *datagrams) trySendAll(targets []*net.UDPAddr, message *jayv1.Datagram) {
	data, err := d.encode(message)
	if err != nil {
		d.gateway.metrics.Count("datagrams", "not_sent", int64(len(targets)))
		return
	}
	for _, target := range targets {
		d.gateway.load.datagramsOut.add(len(data) + datagramOverheadBytes)
		if _, err := d.conn.WriteToUDP(data, target); err != nil {
			d.gateway.metrics.Count("datagrams", "not_sent", 1)
		}
	}
}

func (d *datagrams) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := d.conn.ReadFromUDP(buffer)
		if err != nil {
			klog.V(1).InfoS("Datagram receiver stopped", "err", err)
			return
		}
		d.gateway.load.datagramsIn.add(n + datagramOverheadBytes)
		message := &jayv1.Datagram{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil {
			d.gateway.metrics.Count("datagrams", "malformed", 1)
			continue
		}
		d.handle(message, from)
	}
}

func (d *datagrams) handle(message *jayv1.Datagram, from *net.UDPAddr) {
	g := d.gateway
	switch body := message.GetBody().(type) {
	case *jayv1.Datagram_Hints:
		g.hints.receive(body.Hints)
	case *jayv1.Datagram_Ask:
		now := time.Now()
		offer := g.state.offer(now, body.Ask)
		offer.Facts = g.state.factsForOffer(now, from)
		d.trySend(from, &jayv1.Datagram{Body: &jayv1.Datagram_Offer{Offer: offer}})
	case *jayv1.Datagram_Offer:
		g.placements.receiveOffer(body.Offer, from)
	case *jayv1.Datagram_Progress:
		g.state.applyProgress(time.Now(), body.Progress)
	case *jayv1.Datagram_Switches:
		g.receiveSwitches(body.Switches)
	case *jayv1.Datagram_Strikes:
		g.receiveCrashes(body.Strikes, from.String())
	case *jayv1.Datagram_QuotaReport:
		g.quotaOf(body.QuotaReport.GetKind()).receiveReport(body.QuotaReport, from)
	case *jayv1.Datagram_QuotaGrant:
		g.quotaOf(body.QuotaGrant.GetKind()).receiveGrant(body.QuotaGrant)
	case *jayv1.Datagram_StreamOrigin:
		g.origins.receive(body.StreamOrigin)
	case *jayv1.Datagram_StreamOriginAsk:
		g.origins.answer(body.StreamOriginAsk, from)
	case *jayv1.Datagram_StreamOriginAnswer:
		g.origins.receiveAnswer(body.StreamOriginAnswer, from)
	default:
		g.metrics.Count("datagrams", "unknown", 1)
	}
}
