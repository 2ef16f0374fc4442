// Package member finds the other routers and tells who is in sight, on hashicorp/memberlist (SWIM with
// suspicion), and carries messages between them. It decides nothing: what follows from a view is internal/duty's.
// internal/peer calls it.
package member

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
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

// Options of a group. Sight and Heard are called from memberlist's goroutines and must not block.
type Options struct {
	Self      duty.Member
	Listen    string   // IP:port, TCP and UDP
	Seeds     []string // addresses of some others
	KeyHex    string   // 16, 24 or 32 bytes
	OnMembers func(members []duty.Member)
	OnMessage func(message []byte)
	Log       *slog.Logger
}

// Group is this router's part of a group.
type Group struct {
	options Options
	list    *memberlist.Memberlist
	mu      sync.Mutex
	alive   map[string]duty.Member
	meta    []byte
}

const (
	maxPacketBytes  = 1200    // bytes of a message that goes by UDP: one packet with room for the key's and memberlist's own
	maxMessageBytes = 4 << 20 // bytes of any
)

// lastWords is some rounds of gossip.
const leaveGossipTime = 300 * time.Millisecond

// The pauses between two joins, which double: the first keeps a start short, the longest keeps a seed that stays away, or
// that has another address among the members, from being asked often by each of many routers.
const (
	minJoinPause = time.Second
	maxJoinPause = 30 * time.Second
)

// Start joins the group. That no seed answers is no error: they may come later.
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
	g := &Group{options: o, alive: map[string]duty.Member{}}
	if g.meta, err = proto.Marshal(&pb.PeerMeta{Incarnation: proto.Uint64(o.Self.Incarnation), Zone: proto.String(o.Self.Zone),
		Weight: proto.Float64(o.Self.Weight)}); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = o.Self.Name, host, port, host, port
	c.SecretKey, c.Delegate, c.Events = key, g, g
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = 300*time.Millisecond, 150*time.Millisecond, 3
	c.GossipInterval, c.TCPTimeout, c.PushPullInterval = 50*time.Millisecond, time.Second, 10*time.Second
	c.DeadNodeReclaimTime = time.Second // a router that is back has its old address
	c.GossipToTheDeadTime = 5 * time.Second
	c.LogOutput = logWriter{o.Log}
	if g.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("peers at %s: %w", o.Listen, err)
	}
	go g.joinSeeds(ctx)
	return g, nil
}

// join asks the seeds that are not in sight, now and again for as long as the group runs. Whether anybody is in sight says
// nothing of the others: routers that start together, or were cut off, may see each other and not the rest, and nothing else
// joins the parts.
func (g *Group) joinSeeds(ctx context.Context) {
	pause := minJoinPause
	for {
		missing := g.missingSeeds()
		if len(missing) == 0 {
			pause = minJoinPause
		} else if _, err := g.list.Join(missing); err != nil {
			g.options.Log.Debug("peers: some seeds do not answer", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, maxJoinPause)
	}
}

// missingSeeds are the seeds at whose address no member is in sight.
func (g *Group) missingSeeds() []string {
	inSight := make(map[string]bool)
	for _, member := range g.list.Members() {
		inSight[member.Address()] = true
	}
	return slices.DeleteFunc(slices.Clone(g.options.Seeds), func(seed string) bool { return inSight[seed] })
}

// Tell sends a message to all in sight: a short one as well as UDP can, a long one over TCP, one after another.
func (g *Group) Broadcast(message []byte) error {
	if len(message) > maxPacketBytes {
		return g.BroadcastReliably(message)
	}
	return g.send(message, g.list.SendBestEffort)
}

// TellSurely is Tell over TCP.
func (g *Group) BroadcastReliably(message []byte) error {
	if len(message) > maxMessageBytes {
		return fmt.Errorf("peers: a message of %d bytes, %d are the most", len(message), maxMessageBytes)
	}
	return g.send(message, g.list.SendReliable)
}

func (g *Group) send(message []byte, send func(*memberlist.Node, []byte) error) error {
	var all error
	for _, n := range g.list.Members() {
		if n.Name == g.options.Self.Name {
			continue
		}
		if err := send(n, message); err != nil {
			all = errors.Join(all, fmt.Errorf("peers: tell %s: %w", n.Name, err))
		}
	}
	return all
}

// Stop says that this router goes, and ends its part.
func (g *Group) Stop() error {
	err := g.list.Leave(500 * time.Millisecond)
	time.Sleep(leaveGossipTime) // the word goes out a few times: one packet may be lost
	return errors.Join(err, g.list.Shutdown())
}

func (g *Group) notifyMembers() {
	all := make([]duty.Member, 0, len(g.alive))
	for _, m := range g.alive { // sorted below
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b duty.Member) int { return strings.Compare(a.Name, b.Name) })
	g.options.OnMembers(all)
}

func (g *Group) updateMember(n *memberlist.Node) {
	if n.Name == g.options.Self.Name {
		return
	}
	meta := &pb.PeerMeta{}
	if err := proto.Unmarshal(n.Meta, meta); err != nil || !(meta.GetWeight() > 0) {
		g.options.Log.Warn("peers: a member whose word is not understood is left out", "member", n.Name, "err", err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alive[n.Name] = duty.Member{Name: n.Name, Incarnation: meta.GetIncarnation(), Zone: meta.GetZone(), Weight: meta.GetWeight()}
	g.notifyMembers()
}

// NotifyJoin is of memberlist.EventDelegate, as are the two below.
func (g *Group) NotifyJoin(n *memberlist.Node) {
	g.updateMember(n)
	if n.Name != g.options.Self.Name {
		g.options.Log.Info("peer in sight", "member", n.Name, "address", n.Address())
	}
}

func (g *Group) NotifyUpdate(n *memberlist.Node) { g.updateMember(n) }

func (g *Group) NotifyLeave(n *memberlist.Node) {
	if n.Name == g.options.Self.Name {
		return
	}
	g.mu.Lock()
	delete(g.alive, n.Name)
	g.notifyMembers()
	g.mu.Unlock()
	g.options.Log.Info("peer out of sight", "member", n.Name)
}

// NodeMeta is of memberlist.Delegate, as are those below.
func (g *Group) NodeMeta(limit int) []byte { return g.meta[:min(limit, len(g.meta))] }

func (g *Group) NotifyMsg(b []byte) { g.options.OnMessage(bytes.Clone(b)) }

func (g *Group) GetBroadcasts(int, int) [][]byte { return nil }

func (g *Group) LocalState(bool) []byte { return nil }

func (g *Group) MergeRemoteState([]byte, bool) {}

// logWriter hands memberlist's own lines on.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Debug(strings.TrimSpace(string(p)), "part", "memberlist")
	return len(p), nil
}
