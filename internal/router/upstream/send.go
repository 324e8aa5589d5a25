package upstream

import (
	"bufio"
	"errors"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufSize) }}
)

// send writes header and body by themselves: Request.Write would make path and host anew from a parsed URI.
func (x *Exchange) send() error {
	h, b := &x.o.Request.Header, x.o.Request.Body()
	h.SetNoDefaultContentType(true)
	if len(b) > 0 || !h.IsGet() && !h.IsHead() || h.ContentLength() > 0 || len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		h.SetContentLength(len(b))
	}
	w := writers.Get().(*bufio.Writer)
	w.Reset(x.c)
	err := h.Write(w)
	if err == nil {
		_, err = w.Write(b)
	}
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	return err
}

// refusedToRead says whether a write failed because the worker closed or reset the connection.
func refusedToRead(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}
