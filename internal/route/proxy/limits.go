package proxy

const (
	// connBytes is the memory of a connection of a caller without a request.
	connBytes = 16 << 10
	// http2ConnBytes is the most memory of a connection with HTTP/2: its window, a
	// header that has not ended, and buffers.
	http2ConnBytes = 160 << 10
	// requestBytes is the most memory that a request in progress takes: its state,
	// the start of its body and the buffers to copy body and answer (96 KB), and what
	// the kernel keeps unread of its caller and its server (64 KB).
	requestBytes = 160 << 10

	// Shares of the memory of the process in percent. The rest is for the tables and
	// the program (30 to 40 MB at 639 servers and 82 hosts), and for garbage.
	connsPercent    = 15
	requestsPercent = 45
	headersPercent  = 6
	keyedPercent    = 5
	http2Percent    = 5

	// filesReserved is the number of descriptors that are kept for files.
	filesReserved = 200
	// callerSocketsPercent is the share of the other descriptors for connections of
	// callers. The others are for backend servers, hosts and the store.
	callerSocketsPercent = 50
	// requestSocketsPercent and idleSocketsPercent are the shares for connections to
	// backend servers, with and without a request.
	requestSocketsPercent = 20
	idleSocketsPercent    = 20

	// Limits if the memory and the descriptors of the process are not known.
	defaultConns           = 4096
	defaultRequests        = 2048
	defaultHeadersTotal    = maxAnswerHeadersTotal
	defaultKeyedTotal      = 64 << 20
	defaultIdleServerConns = 40960
)

// setLimits sets the limits that follow the memory and the descriptors of the process.
func (c *Config) setLimits() {
	conns, requests, headers, keyed, idle := int64(defaultConns), int64(defaultRequests), int64(defaultHeadersTotal), int64(defaultKeyedTotal), int64(defaultIdleServerConns)
	if m := c.MemoryBytes; m > 0 {
		conns = min(conns, m*connsPercent/100/connBytes)
		requests = min(requests, m*requestsPercent/100/requestBytes)
		headers = min(headers, m*headersPercent/100)
		keyed = min(keyed, m*keyedPercent/100)
	}
	if n := int64(c.MaxDescriptors); n > 0 {
		sockets := max(n-filesReserved, n/2)
		conns = min(conns, sockets*callerSocketsPercent/100)
		requests = min(requests, sockets*requestSocketsPercent/100)
		idle = min(idle, sockets*idleSocketsPercent/100)
	}
	http2 := conns
	if c.MemoryBytes > 0 {
		http2 = min(conns, c.MemoryBytes*http2Percent/100/http2ConnBytes)
	}
	setDefault(&c.MaxHTTP2Conns, int(max(http2, 1)))
	setDefault(&c.MaxConns, int(max(conns, 1)))
	setDefault(&c.MaxRequests, int(max(requests, 1)))
	setDefault(&c.MaxHeadersTotal, headers)
	setDefault(&c.MaxKeyedTotal, keyed)
	setDefault(&c.MaxIdleServerConns, int(max(idle, 1)))
}
