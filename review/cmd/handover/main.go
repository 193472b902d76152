// Command handover is the case of requests that a broker has taken and never answers while another process replaces it.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"mothrouter/review/standin"
)

const (
	clients  = 8                      // connections, each with its own client
	window   = 3                      // requests that a client sends at once before it waits for an answer
	work     = 130 * time.Millisecond // of a part
	deadline = 4 * time.Second        // of a request of class usage-lookup
	surely   = 100 * time.Millisecond // a request that was sent so long before the end has been read by the broker
	runFor   = 6 * time.Second        // how long the clients send
)

type play struct {
	record *standin.Record
	listen string

	mu       sync.Mutex
	answered map[int]int // by status
	lost     int
	wrong    int
	stop     bool
}

func main() {
	root := flag.String("root", ".", "the repository")
	folder := flag.String("folder", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the file of what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	r, err := standin.NewRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(standin.CouldNot)
	}
	p := &play{record: r, answered: map[int]int{}}
	status := standin.Held
	if err := p.run(*root, *folder, *trouble); err != nil {
		r.Say("the case could not run: %v", err)
		status = standin.CouldNot
	} else if p.lost > 0 || p.wrong > 0 {
		r.Say("broken: %d requests were taken and never answered, %d answers are wrong; answered by status: %v", p.lost, p.wrong,
			p.answered)
		status = standin.Broken
	} else {
		r.Say("held: each request has its answer, by status: %v", p.answered)
	}
	os.Exit(status)
}

func (p *play) run(root, folder string, trouble bool) error {
	site, err := standin.NewSite(root, folder, p.record, 4, 2, work)
	if err != nil {
		return err
	}
	defer site.Stop()
	// The platform owns the listening socket.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	p.listen = listener.Addr().String()
	before, err := p.start(site, socket)
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	conns := make([]net.Conn, clients)
	for i := range conns { // all of them before the second process is there
		if conns[i], err = standin.Dial(p.listen); err != nil {
			return err
		}
		running.Go(func() { p.client(i, conns[i]) })
	}
	time.Sleep(time.Second)
	if trouble {
		if _, err := p.start(site, socket); err != nil {
			return err
		}
		p.record.Line("SIGTERM to the process before")
		before.Signal(syscall.SIGTERM)
	}
	time.Sleep(runFor)
	p.mu.Lock()
	p.stop = true
	p.mu.Unlock()
	running.Wait()
	if trouble {
		select {
		case <-before.Done:
			p.record.Line("the process before has ended: %v", before.ProcessState)
		case <-time.After(5 * time.Second):
			return errors.New("the process before has not ended")
		}
	}
	if len(p.answered) == 0 {
		return errors.New("no request was answered")
	}
	return nil
}

// start starts a process on the platform's socket and waits until HEALTH answers ACK.
func (p *play) start(site *standin.Site, socket *os.File) (*standin.Broker, error) {
	control, err := standin.FreeAddress()
	if err != nil {
		return nil, err
	}
	environment := []string{"PROXY_ACCEPT_FD=3", "PROXY_CONTROL=" + control}
	b, err := site.LaunchBroker("n0", p.listen, environment, socket)
	if err != nil {
		return nil, err
	}
	if err := b.Await(func() bool { return standin.IsHealthy(control) }); err != nil {
		return nil, err
	}
	p.record.Line("HEALTH at %s answers ACK", control)
	return b, nil
}

// sentRequest is a request that has no answer yet.
type sentRequest struct {
	id    string
	shard int
	at    time.Time
}

// client sends requests on one connection, several at once, until an answer says that the connection closes.
func (p *play) client(number int, conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var waiting []sentRequest
	next := 0
	send := func() {
		request := sentRequest{id: fmt.Sprintf("%x%04x", number+10, next), shard: (number + next) % 8}
		next++
		_, err := fmt.Fprint(conn, standin.Query(request.id, "usage-lookup", deadline, request.shard))
		if err == nil {
			request.at = time.Now()
			p.record.Line("client %d has sent %s", number, request.id)
			waiting = append(waiting, request)
		}
	}
	for range window {
		send()
	}
	closing := false
	for len(waiting) > 0 {
		conn.SetReadDeadline(time.Now().Add(deadline + time.Second))
		response, err := http.ReadResponse(in, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		if err != nil {
			p.ended(number, waiting, err)
			return
		}
		p.answer(number, waiting[0], response.StatusCode, string(body))
		waiting = waiting[1:]
		closing = closing || response.Close
		p.mu.Lock()
		stop := p.stop
		p.mu.Unlock()
		if !closing && !stop {
			send()
		}
	}
}

// answer records an answer and compares its value with what the record server has made.
func (p *play) answer(number int, request sentRequest, status int, body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Line("client %d: %s is answered: %d", number, request.id, status)
	p.answered[status]++
	value := standin.Value(fmt.Sprintf("%s.%d", request.id, request.shard), "q"+request.id)
	if status == http.StatusOK && !strings.Contains(body, value) {
		p.record.Line("client %d: %s has a wrong value: %s", number, request.id, body)
		p.wrong++
	}
}

// ended counts the requests that have no answer when the broker has ended the connection. One that was sent just before may
// have crossed the end; its client sends it once more, so it does not count.
func (p *play) ended(number int, waiting []sentRequest, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, request := range waiting {
		age := time.Since(request.at)
		p.record.Line("client %d: the broker has ended the connection (%v) %v after it got %s, without an answer", number, err,
			age.Round(time.Millisecond), request.id)
		if age >= surely {
			p.lost++
		}
	}
}
