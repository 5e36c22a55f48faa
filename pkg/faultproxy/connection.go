package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connection is one relayed TCP connection: client dialed the relay, and the relay
// dialed server, its target.
type connection struct {
	relay      *TCP
	client     net.Conn
	server     net.Conn
	blackholed atomic.Bool
	// responseStarted is set from the first byte of a response until the next
	// request, so that a fault is applied at most once per response.
	responseStarted atomic.Bool
	// responseDroppable is set if the current request matches the relay's dropPrefix.
	responseDroppable atomic.Bool
	// requestSeen is set when the first request begins.
	requestSeen atomic.Bool
	closeOnce   sync.Once
}

// chunk is data that is queued for one direction and written at dueAt. A
// chunk with nil data closes the connection at that time instead.
type chunk struct {
	data  []byte
	dueAt time.Time
}

func (c *connection) run() {
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		c.forward(c.client, c.server, c.onRequestData)
	}()
	go func() {
		defer directions.Done()
		c.forward(c.server, c.client, c.onResponseData)
	}()
	directions.Wait()
	c.close()
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.client.Close()
		c.server.Close()
	})
}

// onRequestData marks the next data from the server as a new response. At the
// start of a request, it also records whether the response may be dropped. It
// forwards all data.
func (c *connection) onRequestData(data []byte) ([]byte, bool) {
	if c.responseStarted.Swap(false) || c.requestSeen.CompareAndSwap(false, true) {
		c.responseDroppable.Store(c.relay.dropsResponseTo(data))
	}
	return data, true
}

// onResponseData drops or truncates a response if such a fault is set. It applies
// the fault to the first data of the response. If no fault is set, it forwards all
// data of the response. ok is false if the connection must be closed after
// forwarded has been sent.
func (c *connection) onResponseData(data []byte) (forwarded []byte, ok bool) {
	if c.responseStarted.Swap(true) {
		return data, true
	}
	if c.responseDroppable.Load() && decrementIfPositive(&c.relay.dropsLeft) {
		return nil, false
	}
	if decrementIfPositive(&c.relay.truncationsLeft) {
		return data[:min(len(data), int(c.relay.truncateAfterBytes.Load()))], false
	}
	return data, true
}

// forward copies one direction. The reader queues each chunk with its delivery
// time and a separate goroutine writes it at that time, so that a delay does not
// limit the throughput. filter returns the part of the data to forward, and false
// if the connection must be closed after it.
func (c *connection) forward(from, to net.Conn, filter func([]byte) ([]byte, bool)) {
	queue := make(chan chunk, maxQueuedChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeChunks(to, queue)
	}()
	c.readChunks(from, queue, filter)
	close(queue)
	<-done
}

// readChunks queues the data that filter returns for each read, until a read fails
// or filter returns false. It then queues the closing of the connection.
func (c *connection) readChunks(from net.Conn, queue chan<- chunk, filter func([]byte) ([]byte, bool)) {
	source := sourceAddr(c.client.RemoteAddr())
	// linkBusyUntil is the time at which the bandwidth limit admits the next chunk.
	var linkBusyUntil time.Time
	for {
		buffer := make([]byte, maxChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 && !c.blackholed.Load() && !c.relay.faults.get().blackholes(source) {
			f := c.relay.faults.get()
			data, ok := filter(buffer[:n])
			now := time.Now()
			if linkBusyUntil.Before(now) {
				linkBusyUntil = now
			}
			linkBusyUntil = linkBusyUntil.Add(transmissionTime(len(data), f.BytesPerSecond))
			queue <- chunk{data: data, dueAt: linkBusyUntil.Add(f.Delay)}
			if !ok {
				queue <- chunk{dueAt: linkBusyUntil.Add(f.Delay)}
				return
			}
		}
		if err != nil {
			if !c.blackholed.Load() {
				queue <- chunk{dueAt: time.Now().Add(c.relay.faults.get().Delay)}
			}
			return
		}
	}
}

// writeChunks writes each queued chunk at its dueAt. After the connection has
// been closed it discards the rest of the queue, so that the reader never blocks.
func (c *connection) writeChunks(to net.Conn, queue <-chan chunk) {
	open := true
	for next := range queue {
		if !open {
			continue
		}
		time.Sleep(time.Until(next.dueAt))
		if next.data == nil {
			c.close()
			open = false
			continue
		}
		if c.blackholed.Load() {
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			open = false
			c.close()
		}
	}
}
