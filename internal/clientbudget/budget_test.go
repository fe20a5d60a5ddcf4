package clientbudget

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// queues are the kernel's queues of a connection in these tests.
type queues struct{ unread, unsent int }

func (q queues) Unread() int { return q.unread }
func (q queues) Unsent() int { return q.unsent }

// testConn is a connection with the reason for which it was ended.
type testConn struct {
	*Conn
	reason atomic.Value
}

// open opens a connection that closes itself when it is ended, as a server does.
func open(p *Port, q Queues) *testConn {
	c := &testConn{}
	c.Conn = p.Open(q, func(r Reason) {
		c.reason.Store(r)
		go c.Close()
	})
	return c
}

const testLimit = 8 << 20

func newTestBudget() *Budget {
	return New(Limits{HeldBytes: 2 * testLimit, RequestBytes: testLimit, ResponseBytes: testLimit, Conns: 8})
}

// TestLimitsOf guards against limits that together exceed the memory of the machine.
func TestLimitsOf(t *testing.T) {
	for _, row := range []struct{ memoryMB, files, conns int }{{144, 3075, 384}, {184, 3075, 490}, {284, 1000, 500}, {536, 10250, 1429}, {0, 0, 2730}} {
		check := is.New(t)
		l := LimitsOf(row.memoryMB, row.files)
		check.Equal(l.Conns, row.conns)
		if row.memoryMB > 0 {
			memory := int64(row.memoryMB) << 20
			check.Equal(l.ResponseBytes, memory/4)
			check.True(l.HeldBytes+int64(l.Conns)*kernelBytesPerConn <= memory*2/3)
			check.True(l.RequestBytes < l.HeldBytes) // responses always have room
		}
	}
}

// TestStalledEndedFirst guards against ending a caller that sends at an ordinary rate, or one that has
// sent while this process stood still, instead of those that hold most and make least progress.
func TestStalledEndedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newTestBudget().NewPort()
		var all []*testConn
		for _, q := range []queues{{}, {}, {}, {unread: 1}} {
			c := open(p, q)
			check.True(c.Begin(100))
			check.NoErr(c.Hold(1500 << 10))
			all = append(all, c)
		}
		small, large, sending, unread := all[0], all[1], all[2], all[3]
		check.NoErr(small.Hold(100 << 10))
		check.NoErr(unread.Hold(1600 << 10)) // holds most
		time.Sleep(2 * stallTime)
		sending.Received(8 * minRate)
		late := open(p, queues{})
		check.True(late.Begin(1))
		check.NoErr(late.Hold(2500 << 10))
		check.Equal(large.reason.Load(), Stalled)
		for _, c := range []*testConn{small, sending, unread} {
			check.Equal(c.reason.Load(), nil)
			check.True(c.Handle())
		}
		check.True(!large.Handle())
	})
}

// TestWaitForBytes guards against a burst of large bodies that is refused although there will be room,
// against one that waits for ever, and against small requests that wait behind it.
func TestWaitForBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := newTestBudget().NewPort()
		first := open(p, queues{})
		check.True(first.Begin(1))
		check.NoErr(first.Hold(4 << 20))
		check.True(first.Handle())
		var served, refused atomic.Int32
		for range 3 {
			go func() {
				c := open(p, queues{})
				c.Begin(1)
				if c.Hold(4<<20) != nil {
					refused.Add(1)
				} else {
					served.Add(1)
				}
			}()
		}
		time.Sleep(maxWait / 2)
		small := open(p, queues{})
		check.True(small.Begin(1))
		start := time.Now()
		check.NoErr(small.Hold(SmallBytes))
		check.Equal(time.Since(start), time.Duration(0))
		check.Equal(served.Load(), int32(0))
		first.Finish()
		synctest.Wait()
		check.Equal(served.Load(), int32(1))
		time.Sleep(maxWait)
		check.Equal(served.Load()+refused.Load(), int32(3))
	})
}

// TestConnections guards against a crowd of connections that leaves no place to others, or ends one with
// a request, and against a crowd at one listener that takes the places of another.
func TestConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := newTestBudget()
		p, other := b.NewPort(), b.NewPort()
		busy, served, old := open(p, queues{}), open(p, queues{}), open(p, queues{})
		check.True(busy.Begin(1))
		check.True(busy.Handle())
		check.True(served.Begin(1))
		check.True(served.Handle())
		served.Finish()
		time.Sleep(2 * stallTime)
		for range 4 {
			open(p, queues{})
		}
		synctest.Wait()
		check.Equal(old.reason.Load(), Idle) // six of eight places are for one listener
		check.Equal(served.reason.Load(), nil)
		for range 20 {
			check.True(open(p, queues{}).Conn != nil)
		}
		check.Equal(busy.reason.Load(), nil)
		check.True(len(b.conns) <= 6)
		check.True(open(other, queues{}).Conn != nil)
		for range 5 {
			c := open(p, queues{})
			c.Begin(1)
			c.Handle()
		}
		check.True(p.Open(queues{}, func(Reason) {}) == nil) // all are busy
		check.True(open(other, queues{}).Conn != nil)
	})
}
