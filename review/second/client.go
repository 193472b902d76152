package main

import (
	"bufio"
	"net"
	"time"
)

// client is a client's connection to a broker that is kept between queries.
type client struct {
	net.Conn
	in *bufio.Reader
}

// askKept sends a query on a connection of the pool, or a new one, and waits for its answer. A connection that the broker has
// closed meanwhile is replaced once, as clients do.
func askKept(pool chan *client, addr string, text []byte, wait time.Duration) (a answer) {
	for try := 0; ; try++ {
		var c *client
		select {
		case c = <-pool:
		default:
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return answer{err: err}
			}
			c = &client{conn, bufio.NewReader(conn)}
			try++
		}
		c.SetDeadline(time.Now().Add(wait))
		if _, err := c.Write(text); err == nil {
			a = readAnswer(c.in)
		} else {
			a = answer{err: err}
		}
		if a.err != nil {
			c.Close()
			if try > 0 {
				return a
			}
			continue
		}
		if a.closes {
			c.Close()
			return a
		}
		select {
		case pool <- c:
		default:
			c.Close()
		}
		return a
	}
}
