// Command restart is the case of a broker that ends after SIGTERM without an answer to what it has taken, since it was held up
// for a moment.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"mothrouter/review/standin"
)

const (
	servers  = 4
	clients  = 12
	work     = 130 * time.Millisecond // of a part
	deadline = 6 * time.Second        // of a request of class tariff-report

	// After SIGTERM. SIGKILL could not come before 3.7 s: the longest deadline counts as 3 s.
	comeWithin = 200 * time.Millisecond  // new connections keep coming so long
	heldUpAt   = 3468 * time.Millisecond // when the broker is held up
	heldUpFor  = 145 * time.Millisecond
	maxHeldUp  = 150 * time.Millisecond // as the page has it
)

type play struct {
	record *standin.Record

	mu       sync.Mutex
	answered map[int]int // by status
	lost     int
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
	} else if p.lost > 0 {
		r.Say("broken: %d requests were taken and never answered; answered by status: %v", p.lost, p.answered)
		status = standin.Broken
	} else {
		r.Say("held: each request has its answer, by status: %v", p.answered)
	}
	os.Exit(status)
}

func (p *play) run(root, folder string, trouble bool) error {
	site, err := standin.NewSite(root, folder, p.record, servers, 2, work)
	if err != nil {
		return err
	}
	defer site.Stop()
	listen, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	broker, err := site.StartBroker("n0", listen, nil)
	if err != nil {
		return err
	}
	for i := range 2 { // half of the record servers; only they hold the shards 0 and 4
		site.Servers[i].Hang()
		p.record.Line("%s hangs from now on", site.Servers[i].ID)
	}
	p.record.Line("SIGTERM to the broker")
	broker.Signal(syscall.SIGTERM)
	told := time.Now()
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			time.Sleep(time.Duration(i) * comeWithin / clients)
			p.client(i, listen)
		})
	}
	if trouble {
		if err := p.holdUp(broker, told); err != nil {
			return err
		}
	}
	running.Wait()
	select {
	case <-broker.Done:
	case <-time.After(5 * time.Second):
		return errors.New("the broker has not ended")
	}
	p.record.Line("the broker has ended: %v", broker.ProcessState)
	return nil
}

// holdUp stops the broker for a moment.
func (p *play) holdUp(broker *standin.Broker, told time.Time) error {
	time.Sleep(time.Until(told.Add(heldUpAt)))
	begin := time.Now()
	broker.Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(begin.Add(heldUpFor)))
	broker.Signal(syscall.SIGCONT)
	took := time.Since(begin)
	p.record.Line("the broker was held up for %v, from %v after SIGTERM on", took.Round(time.Millisecond),
		begin.Sub(told).Round(time.Millisecond))
	if took > maxHeldUp {
		return fmt.Errorf("this machine is busy: the broker was held up for %v", took)
	}
	return nil
}

// client sends one request on a connection of its own and waits for its answer.
func (p *play) client(number int, listen string) {
	conn, err := standin.Dial(listen)
	if err != nil {
		p.record.Line("client %d: %v", number, err)
		return // nothing was taken
	}
	defer conn.Close()
	id := fmt.Sprintf("%x0001", number+10)
	if _, err := io.WriteString(conn, standin.Query(id, "tariff-report", deadline, 0, 1, 2, 3, 4)); err != nil {
		p.record.Line("client %d: %v", number, err)
		return
	}
	sent := time.Now()
	p.record.Line("client %d has sent %s", number, id)
	conn.SetReadDeadline(sent.Add(deadline + 500*time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	took := time.Since(sent).Round(time.Millisecond)
	if err != nil {
		p.record.Line("client %d: %s has no answer: %v, %v after it was sent", number, id, err, took)
		p.lost++
		return
	}
	p.record.Line("client %d: %s is answered: %d, %v after it was sent", number, id, response.StatusCode, took)
	p.answered[response.StatusCode]++
}
