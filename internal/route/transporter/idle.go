package transporter

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialReason is the reason why a connection is opened instead of reusing an idle one.
type DialReason string

// Reasons for opening a connection.
const (
	// NoneIdle means that all connections are in use.
	NoneIdle DialReason = "none-idle"
	// IdleTooLong means that the idle connections have been idle for too long for this request.
	IdleTooLong DialReason = "idle-too-long"
	// OverCap means that a connection was closed because too many were idle.
	OverCap DialReason = "over-cap"
	// ClosedByTarget means that the peer has closed an idle connection.
	ClosedByTarget DialReason = "closed-by-target"
	// Broken means that a connection failed during a request, or was closed before the whole answer was read.
	Broken DialReason = "broken"
	// Probing means that the connection is opened to find out whether the peer runs.
	Probing DialReason = "probe"
)

// DialReasons lists all reasons.
var DialReasons = []DialReason{NoneIdle, IdleTooLong, OverCap, ClosedByTarget, Broken, Probing}

// lostReasons are the reasons why an open connection was lost, in the order in which new connections are attributed to
// them.
var lostReasons = [...]DialReason{Broken, ClosedByTarget, OverCap, IdleTooLong}

const (
	// keepAliveShare is the share of the time stated by a Keep-Alive header for which a connection is reused. The peer
	// counts from an earlier moment.
	keepAliveShare = 0.8
	// distrustPeriod is the time after a lost request on an idle connection in which connections that have been idle as
	// long are not reused. Targets forget idle connections at times; one lost request in 3 s is within the budget of
	// resends.
	distrustPeriod = 3 * time.Second
	// distrustShare is the share of the lost connection's idle time up to which others are reused in that period.
	distrustShare = 0.8
)

// connections are the connections to one address.
type connections struct {
	// idle holds the idle connections in the order in which they were returned.
	idle []*pooledConn
	// open counts the connections, in use or idle.
	open int
	// lost counts the connections lost since lostAt less the connections opened in their place, by lostReasons.
	lost   [len(lostReasons)]int
	lostAt time.Time
	// trusted is the idle time up to which connections are reused until distrustedUntil.
	trusted         time.Duration
	distrustedUntil time.Time
}

// SetMaxIdle sets the maximum number of idle connections to one address, and the number of open connections from which
// on the longest idle one is closed before another is opened. A value of 0 stands for 48 idle ones, and for no maximum of
// open ones.
func (p *Pool) SetMaxIdle(idle, open int) {
	p.maxIdle.Store(int64(idle))
	p.maxOpen.Store(int64(open))
}

// at returns the connections to an address. p.mu must be held.
func (p *Pool) at(address string) *connections {
	c := p.addresses[address]
	if c == nil {
		c = &connections{}
		p.addresses[address] = c
	}
	return c
}

// opened counts a new connection.
func (p *Pool) opened(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.at(address)
	c.open++
	if limit := int(p.maxOpen.Load()); limit > 0 && c.open > limit && len(c.idle) > 0 {
		c.closeOldest(OverCap)
	}
}

// discard closes a connection that is in use.
func (p *Pool) discard(address string, pc *pooledConn, reason DialReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at(address).close(pc, reason)
}

// distrust records that a request on a connection that had been idle was lost.
func (p *Pool) distrust(address string, pc *pooledConn) {
	if p.FreshIdle == 0 || pc.lastUsed.IsZero() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := pc.reusedAfter
	if idle <= p.FreshIdle {
		return
	}
	c := p.at(address)
	c.trusted = max(p.FreshIdle, time.Duration(distrustShare*float64(idle)))
	c.distrustedUntil = time.Now().Add(distrustPeriod)
}

// close closes a connection and remembers why.
func (c *connections) close(pc *pooledConn, reason DialReason) {
	_ = pc.conn.Close()
	c.open--
	c.lostAt = time.Now()
	for i, r := range lostReasons {
		if r == reason {
			c.lost[i]++
		}
	}
}

func (c *connections) closeOldest(reason DialReason) {
	pc := c.idle[0]
	c.idle[0] = nil
	c.idle = c.idle[1:]
	c.close(pc, reason)
}

// reason returns why a connection must be opened. Connections that were lost longer ago than the idle timeout would have
// been closed by now. A maxIdle of 0 asks for a new connection.
func (c *connections) reason(now time.Time, maxIdle, idleTimeout time.Duration) DialReason {
	if len(c.idle) > 0 && maxIdle > 0 {
		return IdleTooLong
	}
	if now.Sub(c.lostAt) > idleTimeout {
		clear(c.lost[:])
	}
	for i := range c.lost {
		if c.lost[i] > 0 {
			c.lost[i]--
			return lostReasons[i]
		}
	}
	return NoneIdle
}

// take removes an open connection that has been idle for less than maxIdle from the pool and returns it. It returns nil
// and the reason if there is none.
func (p *Pool) take(address string, maxIdle time.Duration) (*pooledConn, DialReason) {
	now := time.Now()
	allClosed := false
	p.mu.Lock()
	defer p.mu.Unlock()
	defer func() { p.reportClosed(address, allClosed) }()
	c := p.at(address)
	repeatable := p.FreshIdle > 0 && maxIdle > p.FreshIdle
	if repeatable && now.Before(c.distrustedUntil) {
		maxIdle, repeatable = min(maxIdle, c.trusted), false
	}
	for len(c.idle) > 0 && maxIdle > 0 {
		if repeatable {
			pc := c.idle[0]
			if pc.expired(now, maxIdle) {
				c.closeOldest(IdleTooLong)
				continue
			}
			c.idle[0] = nil
			c.idle = c.idle[1:]
			if c.reserve(pc, now) {
				return pc, ""
			}
			allClosed = !c.anyOpen()
			continue
		}
		last := len(c.idle) - 1
		pc := c.idle[last]
		if pc.expired(now, maxIdle) {
			break
		}
		c.idle[last] = nil
		c.idle = c.idle[:last]
		if maxIdle <= p.FreshIdle && !pc.receivedWithin(p.FreshIdle) {
			// This process was suspended while the answer waited, so the peer has counted a longer idle time.
			c.close(pc, IdleTooLong)
			continue
		}
		if c.reserve(pc, now) {
			return pc, ""
		}
		allClosed = !c.anyOpen()
	}
	return nil, c.reason(now, maxIdle, p.IdleTimeout)
}

// anyOpen reports whether the peer keeps any of the idle connections open.
func (c *connections) anyOpen() bool {
	return slices.ContainsFunc(c.idle, func(pc *pooledConn) bool { return pc.conn.Err() == nil })
}

// reportClosed calls OnAllClosed if closed is set. The caller holds the pool's mutex, so that no other request opens a
// connection before the report.
func (p *Pool) reportClosed(address string, closed bool) {
	if closed && p.OnAllClosed != nil {
		p.OnAllClosed(address)
	}
}

// reserve prepares an idle connection for a request. It returns false if the peer has closed the connection.
func (c *connections) reserve(pc *pooledConn, now time.Time) bool {
	if pc.conn.Err() == nil && pc.conn.Reserve() == nil {
		pc.reusedAfter = now.Sub(pc.lastUsed)
		return true
	}
	c.close(pc, ClosedByTarget)
	return false
}

// expired reports whether the connection has been idle for maxIdle, or for as long as its peer keeps it.
func (pc *pooledConn) expired(now time.Time, maxIdle time.Duration) bool {
	if pc.maxIdle > 0 {
		maxIdle = min(maxIdle, pc.maxIdle)
	}
	return now.Sub(pc.lastUsed) >= maxIdle
}

// receivedWithin reports whether the kernel received data on the connection within the time. It returns true if the
// connection is not one of the kernel.
func (pc *pooledConn) receivedWithin(within time.Duration) bool {
	conn, ok := pc.network.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	recent := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		recent = err == nil && time.Duration(info.Last_data_recv)*time.Millisecond < within
	})
	return err == nil && recent
}

// answered records the beginning of an answer, and how long its peer keeps the connection.
func (pc *pooledConn) answered(h http.Header) {
	pc.lastUsed = time.Now()
	values := h["Keep-Alive"]
	if len(values) == 0 || values[0] == pc.keepAlive {
		return
	}
	pc.keepAlive = values[0]
	pc.maxIdle = time.Duration(keepAliveShare * float64(keepAliveTimeout(values[0])))
}

// keepAliveTimeout returns the time stated by a Keep-Alive header, or 0 if it states none. A connection that takes no
// more requests is kept for a nanosecond.
func keepAliveTimeout(header string) time.Duration {
	timeout := time.Duration(0)
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.ParseFloat(strings.Trim(value, `"`), 64)
		if err != nil || !(n >= 0 && n < 1e6) {
			continue
		}
		switch {
		case strings.EqualFold(name, "timeout"):
			timeout = max(time.Duration(n*float64(time.Second)), 2)
		case strings.EqualFold(name, "max") && n == 0:
			return 2
		}
	}
	return timeout
}

// put returns a connection to the pool and closes the longest idle one if the pool holds too many.
func (p *Pool) put(address string, pc *pooledConn) {
	limit := int(p.maxIdle.Load())
	if limit == 0 {
		limit = defaultMaxIdle
	}
	if p.FreshIdle == 0 {
		pc.lastUsed = time.Now()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.at(address)
	c.insert(pc)
	for len(c.idle) > limit {
		c.closeOldest(OverCap)
	}
}

// insert adds an idle connection in the order of lastUsed. A streamed answer ends long after it began.
func (c *connections) insert(pc *pooledConn) {
	c.idle = append(c.idle, pc)
	for i := len(c.idle) - 1; i > 0 && c.idle[i-1].lastUsed.After(pc.lastUsed); i-- {
		c.idle[i-1], c.idle[i] = c.idle[i], c.idle[i-1]
	}
}

// CloseExpired closes the connections that have been idle for longer than IdleTimeout or that the peer has closed.
func (p *Pool) CloseExpired() {
	p.once.Do(p.start)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.addresses {
		p.reportClosed(address, len(c.idle) > 0 && !c.anyOpen())
		remaining := c.idle[:0]
		for _, pc := range c.idle {
			switch {
			case pc.conn.Err() != nil:
				c.close(pc, ClosedByTarget)
			case pc.expired(now, p.IdleTimeout):
				c.close(pc, IdleTooLong)
			default:
				remaining = append(remaining, pc)
			}
		}
		clear(c.idle[len(remaining):])
		c.idle = remaining
		if c.open <= 0 && now.Sub(c.lostAt) > p.IdleTimeout {
			delete(p.addresses, address)
		}
	}
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.once.Do(p.start)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at(address).closeAll()
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.once.Do(p.start)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.addresses {
		c.closeAll()
	}
}

func (c *connections) closeAll() {
	for _, pc := range c.idle {
		c.close(pc, Broken)
	}
	c.idle = nil
}
