/// \file
/// TCP connections on the process loop, with one deadline each.
#ifndef GUAVASAIL_SRC_TCP_STREAM_H
#define GUAVASAIL_SRC_TCP_STREAM_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <uv.h>

namespace guavasail {

/// How a connection ended.
enum class StreamEnd : uint8_t {
  /// The peer closed it in order.
  Closed,
  /// It was reset or failed.
  Reset,
  /// It could not be set up.
  ConnectFailed,
  /// Its deadline passed.
  TimedOut,
};

class TcpStream;

/// Told what happens on a connection. After `onEnd` the stream is closed and
/// must not be used.
class StreamOwner {
public:
  virtual void onOpen(TcpStream &stream) = 0;
  virtual void onBytes(TcpStream &stream, std::string_view bytes) = 0;
  /// All queued bytes were handed to the system.
  virtual void onDrained(TcpStream &stream) = 0;
  virtual void onEnd(TcpStream &stream, StreamEnd end) = 0;

protected:
  ~StreamOwner() = default;
};

/// Chooses whether closing a socket resets the connection at once, also when
/// the process ends, or ends it in order after the bytes that are unsent.
/// \param socket a TCP socket.
/// \param reset true for a reset.
/// \returns 0, or the system's error number.
int setAbortiveClose(uv_os_fd_t socket, bool reset);

/// Reads the loop's cached clock in milliseconds.
uint64_t loopMillis(const uv_loop_t &loop);

/// Prepares a socket that is to listen.
/// \param listener initialised in any case, so that it has to be closed.
/// \param address IP number in text form.
/// \returns false if the address cannot be used.
bool bindListener(uv_loop_t &loop, uv_tcp_t &listener,
                  const std::string &address, uint32_t port);

/// One TCP connection. It frees itself after `close`.
class TcpStream {
public:
  /// Starts to connect. The result is `onOpen` or `onEnd`, never before this
  /// returns.
  /// \param address IP number in text form.
  static TcpStream *connect(uv_loop_t &loop, const std::string &address,
                            uint32_t port, StreamOwner &owner);

  /// Takes the next connection of a listening socket and reads from it.
  /// \returns null if there is none.
  static TcpStream *accept(uv_stream_t &server, StreamOwner &owner);

  /// Sends bytes, at once if the system takes them.
  void write(std::string bytes);

  /// Stops and continues reading.
  void pause();
  void resume();

  /// Ends the connection when \p due has passed; 0 takes the deadline away.
  /// \param due time in milliseconds of the loop's clock.
  void setDeadline(uint64_t due);

  /// Closes after all queued bytes are out.
  void closeWhenSent();
  /// Closes at once. No callback follows.
  void close();
  /// Closes with a reset, so that the peer takes nothing for complete.
  void reset();

  /// See the function of this name.
  /// \returns 0, or the system's error number.
  int setAbortiveClose(bool reset);

  /// Bounds what the system holds of the connection, in each direction.
  void boundBuffers(int bytes);

  /// Reads in small parts from all connections, or in large ones again.
  static void readSparingly(bool sparing);

  /// \returns bytes given to `write` so far.
  [[nodiscard]] uint64_t written() const { return Written; }
  /// \returns bytes that the system holds because the peer has not confirmed
  /// them.
  [[nodiscard]] size_t unconfirmed() const;
  /// \returns bytes received by the system that were not read.
  [[nodiscard]] size_t unread() const;
  /// \returns bytes that the system has not taken yet.
  [[nodiscard]] size_t queued() const;
  [[nodiscard]] uv_loop_t &loop() const { return *Tcp.loop; }

  /// Free use by the owner.
  void *Context = nullptr;

private:
  explicit TcpStream(uv_loop_t &loop, StreamOwner &owner);
  ~TcpStream() = default;

  void startReading();
  void noteWrite(int status);
  [[nodiscard]] size_t askSocket(unsigned long request) const;
  [[nodiscard]] StreamEnd endOfRead() const;
  void finish(StreamEnd end);
  void armTimer(uint64_t due);
  static void onConnected(uv_connect_t *request, int status);
  static void onRead(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
  static void onWritten(uv_write_t *request, int status);
  static void onTimer(uv_timer_t *timer);
  static void onClosed(uv_handle_t *handle);

  uv_tcp_t Tcp{};
  uv_timer_t Timer{};
  uv_connect_t Connect{};
  StreamOwner *Owner;
  uint64_t Due = 0;
  uint64_t Armed = 0;
  uint64_t Written = 0;
  int Handles = 2;
  bool Closing = false;
  bool CloseAfterWrite = false;
  /// A write found the connection reset, which clears the socket's error.
  bool WriteReset = false;
  bool Reading = false;
};

} // namespace guavasail

#endif
