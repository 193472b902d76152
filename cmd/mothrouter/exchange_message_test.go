package main_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net/textproto"
	"regexp"
	"strconv"
	"strings"
)

var serverName = regexp.MustCompile(`^s\d`)

// isServer reports whether a peer of an exchange is a record server.
func isServer(name string) bool { return serverName.MatchString(name) }

// encodeMessage returns the bytes that a peer sends for a recorded message.
func encodeMessage(peer, message string) []byte {
	if isServer(peer) {
		messageType, rest, _ := strings.Cut(message, " ")
		b := binary.BigEndian.AppendUint32(nil, uint32(1+len(rest)))
		return append(append(b, messageType...), rest...)
	}
	if line, ok := strings.CutPrefix(message, "~line"); ok { // an update in the watch of the endpoint list, sent as a chunk
		line = strings.TrimSpace(line)
		return fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(line)+1, line)
	}
	if raw, ok := strings.CutPrefix(message, "~raw "); ok { // more bytes of an earlier message
		return []byte(raw)
	}
	head, body, _ := strings.Cut(message, "\n\n")
	head = strings.ReplaceAll(head, "\n", "\r\n")
	if strings.Contains(head, "chunked") && body != "" {
		body = strings.ReplaceAll(body, "\n", "\r\n") + "\r\n\r\n"
	}
	head = strings.Replace(head, "Content-Length: auto", "Content-Length: "+strconv.Itoa(len(body)), 1)
	return []byte(head + "\r\n\r\n" + body)
}

// readMessage reads the next message that the program sends to a peer and returns it in the notation of the recordings.
func readMessage(peer string, in *bufio.Reader) (string, error) {
	if isServer(peer) {
		return readFrame(in)
	}
	return readHTTP(in)
}

func readFrame(in *bufio.Reader) (string, error) {
	var n uint32
	if err := binary.Read(in, binary.BigEndian, &n); err != nil {
		return "", err
	}
	b := make([]byte, n)
	_, err := io.ReadFull(in, b)
	return strings.TrimSuffix(string(b[:1])+" "+string(b[1:]), " "), err
}

func readHTTP(in *bufio.Reader) (string, error) {
	r := textproto.NewReader(in)
	start, err := r.ReadLine()
	if err != nil {
		return "", err
	}
	lines := []string{start}
	length := 0
	for {
		line, err := r.ReadLine()
		if err != nil {
			return "", err
		}
		if lines = append(lines, line); line == "" {
			break
		}
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(v)
		}
	}
	body := make([]byte, length)
	_, err = io.ReadFull(in, body)
	return strings.TrimRight(strings.Join(lines, "\n")+"\n"+string(body), "\n"), err
}
