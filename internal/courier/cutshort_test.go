package courier_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// cutConn is a connection that ends after a number of bytes in either direction.
type cutConn struct {
	net.Conn
	// toRead and toWrite are the numbers of bytes that are left, and end the error of reads after them.
	toRead, toWrite int
	end             error
	read, written   atomic.Int64
}

func (c *cutConn) Read(buffer []byte) (int, error) {
	if c.toRead == 0 {
		return 0, c.end
	}
	n, err := c.Conn.Read(buffer[:min(len(buffer), c.toRead)])
	c.toRead -= n
	c.read.Add(int64(n))
	return n, err
}

func (c *cutConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data[:min(len(data), c.toWrite)])
	c.toWrite -= n
	c.written.Add(int64(n))
	if n < len(data) {
		c.Close()
		return n, syscall.ECONNRESET
	}
	return n, err
}

var _ = Describe("A call to another instance", func() {
	const unlimited, recordCount = 1 << 20, 5
	var runs atomic.Int32
	var address string

	BeforeEach(func() {
		runs.Store(0)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		changes := roster.Changes{}
		for i := range recordCount {
			changes.Instances = append(changes.Instances, roster.InstanceRecord{Name: fmt.Sprint("entry-", i), Incarnation: uint64(i + 1)})
		}
		server, err := courier.NewServer(listener, courier.Services{
			Roster: courier.NewRosterService(func(roster.Cursor, *roster.InstanceRecord) roster.Changes {
				runs.Add(1)
				return changes
			}),
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		address = server.Address()
	})

	// pull calls the instance over a connection that ends after the given numbers of bytes.
	pull := func(ctx context.Context, toRead, toWrite int, end error) (*cutConn, roster.Changes, error) {
		// The pool connects anew if a connection breaks at once.
		var latest atomic.Pointer[cutConn]
		pool := courier.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
			inner, err := courier.DialTCP(ctx, address)
			conn := &cutConn{Conn: inner, toRead: toRead, toWrite: toWrite, end: end}
			latest.Store(conn)
			return conn, err
		}, time.Minute)
		defer pool.Close()
		changes, err := pool.PullRoster(ctx, address, roster.Cursor{}, nil)
		return latest.Load(), changes, err
	}

	// Half a list of instances would hide the others.
	It("has no reply if that is cut short at any byte", func(ctx SpecContext) {
		conn, changes, err := pull(ctx, unlimited, unlimited, io.EOF)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Instances).To(HaveLen(recordCount))
		for at := range int(conn.read.Load()) {
			_, changes, err := pull(ctx, at, unlimited, []error{io.EOF, syscall.ECONNRESET}[at%2])
			Expect(err).To(HaveOccurred(), "%d bytes", at)
			Expect(changes.Instances).To(BeEmpty())
		}
	}, SpecTimeout(time.Minute))

	It("is not carried out if it is cut short at any byte", func(ctx SpecContext) {
		conn, _, err := pull(ctx, unlimited, unlimited, io.EOF)
		Expect(err).NotTo(HaveOccurred())
		for at := range int(conn.written.Load()) {
			_, _, err := pull(ctx, unlimited, at, io.EOF)
			Expect(err).To(HaveOccurred(), "%d bytes", at)
		}
		_, _, err = pull(ctx, unlimited, unlimited, io.EOF)
		Expect(err).NotTo(HaveOccurred())
		Expect(runs.Load()).To(Equal(int32(2)), "the whole ones")
	}, SpecTimeout(time.Minute))
})
