#include "tcp_stream.h"

#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace guavasail {

namespace {

constexpr size_t ReadBytes = 64 * 1024;
/// Enough for the head of a usual request.
constexpr size_t SparingReadBytes = 4 * 1024;

size_t NextReadBytes = ReadBytes;

/// A write in progress and its bytes.
struct Write {
  uv_write_t Request{};
  std::string Bytes;
  TcpStream *Stream = nullptr;
};

uv_stream_t *streamOf(uv_tcp_t &tcp) {
  return reinterpret_cast<uv_stream_t *>(&tcp);
}

uv_handle_t *handleOf(uv_tcp_t &tcp) {
  return reinterpret_cast<uv_handle_t *>(&tcp);
}

uv_handle_t *handleOf(uv_timer_t &timer) {
  return reinterpret_cast<uv_handle_t *>(&timer);
}

/// One buffer serves all connections: a read is handled before the next one.
void allocate(uv_handle_t *, size_t, uv_buf_t *buf) {
  static std::array<char, ReadBytes> bytes;
  *buf = uv_buf_init(bytes.data(), static_cast<unsigned>(NextReadBytes));
}

/// Converts an IP number in text form.
/// \returns 0 or the library's error.
int parseAddress(const std::string &address, uint32_t port,
                 sockaddr_storage &place) {
  auto number = static_cast<int>(port);
  int fault = uv_ip4_addr(address.c_str(), number,
                          reinterpret_cast<sockaddr_in *>(&place));
  return fault == 0 ? 0
                    : uv_ip6_addr(address.c_str(), number,
                                  reinterpret_cast<sockaddr_in6 *>(&place));
}

} // namespace

bool bindListener(uv_loop_t &loop, uv_tcp_t &listener,
                  const std::string &address, uint32_t port) {
  sockaddr_storage place{};
  uv_tcp_init(&loop, &listener);
  return parseAddress(address, port, place) == 0 &&
         uv_tcp_bind(&listener, reinterpret_cast<const sockaddr *>(&place),
                     0) == 0;
}

int setAbortiveClose(uv_os_fd_t socket, bool reset) {
  linger option{};
  option.l_onoff = reset ? 1 : 0;
  return setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option) == 0
             ? 0
             : errno;
}

uint64_t loopMillis(const uv_loop_t &loop) { return uv_now(&loop); }

TcpStream::TcpStream(uv_loop_t &loop, StreamOwner &owner) : Owner(&owner) {
  uv_tcp_init(&loop, &Tcp);
  uv_timer_init(&loop, &Timer);
  Tcp.data = Timer.data = Connect.data = this;
}

TcpStream *TcpStream::connect(uv_loop_t &loop, const std::string &address,
                              uint32_t port, StreamOwner &owner) {
  auto *stream = new TcpStream(loop, owner);
  sockaddr_storage place{};
  int fault = parseAddress(address, port, place);
  uv_tcp_nodelay(&stream->Tcp, 1);
  if (fault == 0)
    fault = uv_tcp_connect(&stream->Connect, &stream->Tcp,
                           reinterpret_cast<const sockaddr *>(&place),
                           &TcpStream::onConnected);
  // A failure is reported by the timer, after this has returned.
  if (fault != 0)
    stream->setDeadline(loopMillis(loop) + 1);
  return stream;
}

TcpStream *TcpStream::accept(uv_stream_t &server, StreamOwner &owner) {
  auto *stream = new TcpStream(*server.loop, owner);
  if (uv_accept(&server, streamOf(stream->Tcp)) != 0) {
    stream->close();
    return nullptr;
  }
  uv_tcp_nodelay(&stream->Tcp, 1);
  stream->startReading();
  return stream;
}

void TcpStream::startReading() {
  if (Reading || Closing)
    return;
  Reading = true;
  uv_read_start(streamOf(Tcp), &allocate, &TcpStream::onRead);
}

void TcpStream::pause() {
  if (!Reading)
    return;
  Reading = false;
  uv_read_stop(streamOf(Tcp));
}

void TcpStream::resume() { startReading(); }

void TcpStream::write(std::string bytes) {
  if (Closing || bytes.empty())
    return;
  Written += bytes.size();
  uv_buf_t buf = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
  size_t sent = 0;
  if (queued() == 0) {
    int n = uv_try_write(streamOf(Tcp), &buf, 1);
    noteWrite(n);
    sent = n > 0 ? static_cast<size_t>(n) : 0;
  }
  if (sent == bytes.size())
    return;
  auto *write = new Write;
  write->Bytes = sent == 0 ? std::move(bytes) : bytes.substr(sent);
  write->Stream = this;
  write->Request.data = write;
  buf = uv_buf_init(write->Bytes.data(),
                    static_cast<unsigned>(write->Bytes.size()));
  if (uv_write(&write->Request, streamOf(Tcp), &buf, 1,
               &TcpStream::onWritten) != 0)
    delete write;
}

void TcpStream::onWritten(uv_write_t *request, int status) {
  auto *write = static_cast<Write *>(request->data);
  TcpStream &self = *write->Stream;
  delete write;
  self.noteWrite(status);
  if (self.Closing || status != 0 || self.queued() > 0)
    return;
  if (self.CloseAfterWrite)
    return self.close();
  if (self.Owner)
    self.Owner->onDrained(self);
}

/// Remembers a reset that a write found. `EPIPE` tells of one only after the
/// peer's orderly end, or after this reset.
void TcpStream::noteWrite(int status) {
  WriteReset |= status < 0 && status != UV_EAGAIN && status != UV_EPIPE &&
                status != UV_ECANCELED;
}

int TcpStream::setAbortiveClose(bool reset) {
  uv_os_fd_t fd = -1;
  int fault = uv_fileno(handleOf(Tcp), &fd);
  return fault != 0 ? -fault : guavasail::setAbortiveClose(fd, reset);
}

void TcpStream::boundBuffers(int bytes) {
  // A failure leaves the system's own bound; there may be no socket yet.
  int size = bytes;
  uv_send_buffer_size(handleOf(Tcp), &size);
  size = bytes;
  uv_recv_buffer_size(handleOf(Tcp), &size);
}

void TcpStream::readSparingly(bool sparing) {
  NextReadBytes = sparing ? SparingReadBytes : ReadBytes;
}

/// \returns a number of bytes that the system knows, 0 without a socket.
size_t TcpStream::askSocket(unsigned long request) const {
  uv_os_fd_t fd = -1;
  int n = 0;
  bool known =
      uv_fileno(reinterpret_cast<const uv_handle_t *>(&Tcp), &fd) == 0 &&
      ioctl(fd, request, &n) == 0;
  return known && n > 0 ? static_cast<size_t>(n) : 0;
}

size_t TcpStream::unconfirmed() const { return askSocket(SIOCOUTQ); }

size_t TcpStream::unread() const { return askSocket(SIOCINQ); }

size_t TcpStream::queued() const { return Tcp.write_queue_size; }

void TcpStream::setDeadline(uint64_t due) {
  Due = due;
  // A later deadline is set when the timer fires.
  if (Due != 0 && !Closing && (Armed == 0 || Due < Armed))
    armTimer(Due);
}

void TcpStream::armTimer(uint64_t due) {
  Armed = due;
  uint64_t now = loopMillis(*Tcp.loop);
  uv_timer_start(&Timer, &TcpStream::onTimer, due > now ? due - now : 0, 0);
}

void TcpStream::onTimer(uv_timer_t *timer) {
  auto &self = *static_cast<TcpStream *>(timer->data);
  self.Armed = 0;
  if (self.Due == 0 || self.Closing)
    return;
  if (self.Due > loopMillis(*timer->loop))
    return self.armTimer(self.Due);
  self.finish(StreamEnd::TimedOut);
}

void TcpStream::onConnected(uv_connect_t *request, int status) {
  auto &self = *static_cast<TcpStream *>(request->data);
  if (self.Closing)
    return;
  if (status != 0)
    return self.finish(StreamEnd::ConnectFailed);
  self.startReading();
  self.Owner->onOpen(self);
}

/// \returns how a connection ended of which the library reported the end. It
/// does so too for a reset that it finds together with the last bytes, without
/// reading the socket's error.
StreamEnd TcpStream::endOfRead() const {
  uv_os_fd_t fd = -1;
  int error = 0;
  socklen_t size = sizeof error;
  bool known =
      uv_fileno(reinterpret_cast<const uv_handle_t *>(&Tcp), &fd) == 0 &&
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0;
  // A reset after the peer's orderly end leaves EPIPE.
  bool ordered = known && !WriteReset && (error == 0 || error == EPIPE);
  return ordered ? StreamEnd::Closed : StreamEnd::Reset;
}

void TcpStream::onRead(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf) {
  auto &self = *static_cast<TcpStream *>(stream->data);
  if (self.Closing || n == 0)
    return;
  if (n > 0) {
    if (self.Owner)
      self.Owner->onBytes(self, {buf->base, static_cast<size_t>(n)});
    return;
  }
  self.finish(n == UV_EOF ? self.endOfRead() : StreamEnd::Reset);
}

void TcpStream::finish(StreamEnd end) {
  if (Closing)
    return;
  StreamOwner *owner = Owner;
  close();
  if (owner)
    owner->onEnd(*this, end);
}

void TcpStream::closeWhenSent() {
  Owner = nullptr;
  if (queued() == 0)
    return close();
  CloseAfterWrite = true;
}

void TcpStream::close() {
  if (Closing)
    return;
  Closing = true;
  Owner = nullptr;
  uv_close(handleOf(Tcp), &TcpStream::onClosed);
  uv_close(handleOf(Timer), &TcpStream::onClosed);
}

void TcpStream::reset() {
  if (Closing)
    return;
  Closing = true;
  Owner = nullptr;
  uv_tcp_close_reset(&Tcp, &TcpStream::onClosed);
  uv_close(handleOf(Timer), &TcpStream::onClosed);
}

void TcpStream::onClosed(uv_handle_t *handle) {
  auto *self = static_cast<TcpStream *>(handle->data);
  if (--self->Handles == 0)
    delete self;
}

} // namespace guavasail
