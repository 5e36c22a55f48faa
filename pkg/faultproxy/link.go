package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is one relayed TCP connection.
type link struct {
	relay  *TCP
	client net.Conn
	server net.Conn
	silent atomic.Bool
	// answering is set between the first byte of an answer and the next
	// request, so that a fault on an answer is taken once per answer.
	answering atomic.Bool
	// losable is set when a lost answer may hit the request in progress.
	losable atomic.Bool
	// begun is set once the first request began.
	begun atomic.Bool
	once  sync.Once
}

// chunk is data on its way; at is when it reaches the far side.
type chunk struct {
	data []byte
	at   time.Time
}

func (l *link) run() {
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		l.pump(l.client, l.server, l.request)
	}()
	go func() {
		defer both.Done()
		l.pump(l.server, l.client, l.answer)
	}()
	both.Wait()
	l.close()
}

func (l *link) close() {
	l.once.Do(func() {
		l.client.Close()
		l.server.Close()
	})
}

// request notes that the next data from the server is a new answer.
func (l *link) request(data []byte) ([]byte, bool) {
	if l.answering.Swap(false) || l.begun.CompareAndSwap(false, true) {
		l.losable.Store(l.relay.loses(data))
	}
	return data, true
}

// answer applies the faults on answers; ok is false when the connection ends.
func (l *link) answer(data []byte) (passed []byte, ok bool) {
	if l.answering.Swap(true) {
		return data, true
	}
	if l.losable.Load() && take(&l.relay.lose) {
		return nil, false
	}
	if take(&l.relay.halve) {
		return data[:min(len(data), int(l.relay.half.Load()))], false
	}
	return data, true
}

// pump copies one direction. A reader stamps each chunk with its arrival time
// at the far side, and a writer delivers it then, so that delay does not limit
// the rate.
func (l *link) pump(from, to net.Conn, inspect func([]byte) ([]byte, bool)) {
	queue := make(chan chunk, queuedChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.deliver(to, queue)
	}()
	l.collect(from, queue, inspect)
	close(queue)
	<-done
}

func (l *link) collect(from net.Conn, queue chan<- chunk, inspect func([]byte) ([]byte, bool)) {
	source := sourceOf(l.client.RemoteAddr())
	var free time.Time
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 && !l.silent.Load() && !l.relay.state.get().blackholes(source) {
			f := l.relay.state.get()
			data, ok := inspect(buffer[:n])
			now := time.Now()
			if free.Before(now) {
				free = now
			}
			free = free.Add(transmission(len(data), f.BytesPerSecond))
			queue <- chunk{data: data, at: free.Add(f.Delay)}
			if !ok {
				queue <- chunk{at: free.Add(f.Delay)}
				return
			}
		}
		if err != nil {
			if !l.silent.Load() {
				queue <- chunk{at: time.Now().Add(l.relay.state.get().Delay)}
			}
			return
		}
	}
}

// deliver writes chunks when they are due; an empty chunk ends the connection.
func (l *link) deliver(to net.Conn, queue <-chan chunk) {
	open := true
	for c := range queue {
		if !open {
			continue
		}
		time.Sleep(time.Until(c.at))
		if c.data == nil {
			l.close()
			open = false
			continue
		}
		if l.silent.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			open = false
			l.close()
		}
	}
}
