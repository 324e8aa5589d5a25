package upstream

import (
	"bufio"
	"errors"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// send writes header and body directly, since Request.Write would rebuild path and host from a parsed URI.
func (x *Exchange) send() error {
	header, body := &x.dispatch.Request.Header, x.dispatch.Request.Body()
	header.SetNoDefaultContentType(true)
	if len(body) > 0 || !header.IsGet() && !header.IsHead() || header.ContentLength() > 0 || len(header.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		header.SetContentLength(len(body))
	}
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(x.conn)
	err := header.Write(w)
	if err == nil {
		_, err = w.Write(body)
	}
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writerPool.Put(w)
	return err
}

// closedByWorker reports whether a write failed because the worker closed or reset the connection.
func closedByWorker(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}
