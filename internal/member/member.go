// Package member implements group membership of routers and messages between them with hashicorp/memberlist (SWIM with
// suspicion). It reports which members are alive; internal/duty decides what follows from that. internal/peer calls it.
package member

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"google.golang.org/protobuf/proto"

	"cherryhub/internal/duty"
	pb "cherryhub/proto"
)

// Options configures a Group. OnMembers and OnMessage are called from memberlist's goroutines and must not block.
type Options struct {
	Self      duty.Member
	Listen    string   // IP:port, TCP and UDP
	Seeds     []string // addresses of some other members
	KeyHex    string   // encryption key of 16, 24 or 32 bytes
	OnMembers func(members []duty.Member)
	OnMessage func(message []byte)
	Log       *slog.Logger
}

// Group is this router's membership in a group.
type Group struct {
	options Options
	list    *memberlist.Memberlist
	mu      sync.Mutex
	alive   map[string]duty.Member
	nodes   map[string]memberlist.Node // all live members and this router, by name; copies, as memberlist writes to its own
	meta    []byte
}

const (
	maxPacketBytes  = 1200    // longest message sent over UDP: it must fit in one packet with the overhead of encryption and of memberlist
	maxMessageBytes = 4 << 20 // longest message
)

// leaveGossipTime is the time for some rounds of gossip.
const leaveGossipTime = 300 * time.Millisecond

// Bounds of the pause between two attempts to join, which doubles each time. The first is short for a fast start. The
// longest limits how often many routers contact a seed that stays down or is a member under another address.
const (
	minJoinPause = time.Second
	maxJoinPause = 30 * time.Second
)

// Start joins the group. It is no error if no seed answers: they may start later.
func Start(ctx context.Context, o Options) (*Group, error) {
	key, err := hex.DecodeString(o.KeyHex)
	if err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
		return nil, errors.New("peers: the key must be 16, 24 or 32 bytes as hex")
	}
	host, portText, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	g := &Group{options: o, alive: map[string]duty.Member{}, nodes: map[string]memberlist.Node{}}
	if g.meta, err = proto.Marshal(&pb.PeerMeta{Incarnation: proto.Uint64(o.Self.Incarnation), Zone: proto.String(o.Self.Zone),
		Weight: proto.Float64(o.Self.Weight)}); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = o.Self.Name, host, port, host, port
	c.SecretKey, c.Delegate, c.Events = key, g, g
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = 300*time.Millisecond, 150*time.Millisecond, 3
	c.GossipInterval, c.TCPTimeout, c.PushPullInterval = 50*time.Millisecond, time.Second, 10*time.Second
	c.DeadNodeReclaimTime = time.Second // a restarted router keeps its address
	c.GossipToTheDeadTime = 5 * time.Second
	c.LogOutput = logWriter{o.Log}
	if g.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("peers at %s: %w", o.Listen, err)
	}
	go g.joinSeeds(ctx)
	return g, nil
}

// joinSeeds contacts the seeds that are not alive members, repeatedly for as long as the group runs. It does not stop
// once some member is alive: routers that start together or were partitioned may have found each other but not the
// rest, and nothing else merges the parts.
func (g *Group) joinSeeds(ctx context.Context) {
	pause := minJoinPause
	for {
		missing := g.missingSeeds()
		if len(missing) == 0 {
			pause = minJoinPause
		} else if _, err := g.list.Join(missing); err != nil {
			g.options.Log.Debug("peers: could not join through some seeds", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, maxJoinPause)
	}
}

// missingSeeds returns the seeds at whose address no member is alive.
func (g *Group) missingSeeds() []string {
	alive := make(map[string]bool)
	for _, node := range g.liveNodes() {
		alive[node.Address()] = true
	}
	return slices.DeleteFunc(slices.Clone(g.options.Seeds), func(seed string) bool { return alive[seed] })
}

// Broadcast sends a message to all live members, one after another: a short message over UDP, which may lose it, a long
// one over TCP.
func (g *Group) Broadcast(message []byte) error {
	if len(message) > maxPacketBytes {
		return g.BroadcastReliably(message)
	}
	return g.sendTo(message, g.list.SendBestEffort)
}

// BroadcastReliably is Broadcast over TCP for messages of any length.
func (g *Group) BroadcastReliably(message []byte) error {
	if len(message) > maxMessageBytes {
		return fmt.Errorf("peers: message of %d bytes exceeds the limit of %d", len(message), maxMessageBytes)
	}
	return g.sendTo(message, g.list.SendReliable)
}

func (g *Group) sendTo(message []byte, sendTo func(*memberlist.Node, []byte) error) error {
	var errs error
	for _, node := range g.liveNodes() {
		if node.Name == g.options.Self.Name {
			continue
		}
		if err := sendTo(&node, message); err != nil {
			errs = errors.Join(errs, fmt.Errorf("peers: send to %s: %w", node.Name, err))
		}
	}
	return errs
}

// liveNodes returns all live members and this router.
func (g *Group) liveNodes() []memberlist.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.nodes))
}

// storeNode stores a copy of a node that has joined or changed.
func (g *Group) storeNode(n *memberlist.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes[n.Name] = *n
}

// Stop announces that this router leaves the group, and shuts down its membership.
func (g *Group) Stop() error {
	err := g.list.Leave(500 * time.Millisecond)
	time.Sleep(leaveGossipTime) // the announcement is repeated in each round, as a packet may be lost
	return errors.Join(err, g.list.Shutdown())
}

func (g *Group) notifyMembers() {
	members := make([]duty.Member, 0, len(g.alive))
	for _, m := range g.alive { // iteration order does not matter: sorted below
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b duty.Member) int { return strings.Compare(a.Name, b.Name) })
	g.options.OnMembers(members)
}

func (g *Group) updateMember(n *memberlist.Node) {
	if n.Name == g.options.Self.Name {
		return
	}
	meta := &pb.PeerMeta{}
	if err := proto.Unmarshal(n.Meta, meta); err != nil || !(meta.GetWeight() > 0) {
		g.options.Log.Warn("peers: member with invalid metadata ignored", "member", n.Name, "err", err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alive[n.Name] = duty.Member{Name: n.Name, Incarnation: meta.GetIncarnation(), Zone: meta.GetZone(), Weight: meta.GetWeight()}
	g.notifyMembers()
}

// NotifyJoin implements memberlist.EventDelegate, as do NotifyUpdate and NotifyLeave. Only during these calls, which hold
// memberlist's lock, the node may be read.
func (g *Group) NotifyJoin(n *memberlist.Node) {
	g.storeNode(n)
	g.updateMember(n)
	if n.Name != g.options.Self.Name {
		g.options.Log.Info("peer joined", "member", n.Name, "address", n.Address())
	}
}

func (g *Group) NotifyUpdate(n *memberlist.Node) {
	g.storeNode(n)
	g.updateMember(n)
}

func (g *Group) NotifyLeave(n *memberlist.Node) {
	if n.Name == g.options.Self.Name {
		return
	}
	g.mu.Lock()
	delete(g.nodes, n.Name)
	delete(g.alive, n.Name)
	g.notifyMembers()
	g.mu.Unlock()
	g.options.Log.Info("peer left or failed", "member", n.Name)
}

// NodeMeta implements memberlist.Delegate, as do the methods below it.
func (g *Group) NodeMeta(limit int) []byte { return g.meta[:min(limit, len(g.meta))] }

func (g *Group) NotifyMsg(b []byte) { g.options.OnMessage(bytes.Clone(b)) }

func (g *Group) GetBroadcasts(int, int) [][]byte { return nil }

func (g *Group) LocalState(bool) []byte { return nil }

func (g *Group) MergeRemoteState([]byte, bool) {}

// logWriter passes memberlist's log lines to a slog.Logger.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Debug(strings.TrimSpace(string(p)), "part", "memberlist")
	return len(p), nil
}
