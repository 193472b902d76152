package front

import "time"

const (
	// FirstRequestTimeout is the time from the accept to the last byte of a connection's first request: connections that send
	// nothing, or half a request, hold descriptors that other clients need.
	FirstRequestTimeout = 2200 * time.Millisecond

	requestTimeout  = 2200 * time.Millisecond // from the first to the last byte of a later request
	idleTimeout     = 30 * time.Second        // between requests
	writeTimeout    = 2 * time.Second         // for a client to read a response
	newConnGrace    = 250 * time.Millisecond  // a client that has just connected is about to send: others are evicted first
	evictionTimeout = 20 * time.Millisecond   // for an evicted connection to end, during which none is accepted
	lingerTimeout   = 500 * time.Millisecond  // for a client to read its last answer and close
	exitLinger      = 100 * time.Millisecond  // the same, when the process is about to exit
	acceptBackoff   = 10 * time.Millisecond   // after a failed accept

	smallRead      = 1 << 10              // bytes of a read behind a request in flight after which reading pauses, if it has fewer
	smallReadPause = 5 * time.Millisecond // before the next read then

	// What work outside of turns takes of a processor.
	acceptTime   = 30 * time.Microsecond  // a new connection's goroutines and registration
	readTime     = 10 * time.Microsecond  // a read, besides its bytes
	readTimeKB   = 250 * time.Nanosecond  // each KiB that is read
	maxWriteTime = 200 * time.Microsecond // a write; a longer one waited for its client

	maxLingerBytes    = 256 << 10 // read and discarded while a connection lingers
	maxPipelinedBytes = 1 << 20   // pipelined bytes read and discarded during a request, beyond those that are kept
	discardSize       = 64 << 10  // bytes that are read and discarded at a time
	discardBufferSize = 4 << 10   // bytes of the buffer for them
	maxIdleBuffer     = 4 << 10   // bytes kept in a connection's buffers between requests
	maxRejecting      = 4         // connections over capacity that are answered concurrently; more are closed
)
