#ifndef TOOLS_TCP_TCP_STREAM_IMPL_H_
#define TOOLS_TCP_TCP_STREAM_IMPL_H_

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "tools/tcp/tcp_stream.h"

namespace marigold {

// All members but `unsent` are used only on the socket's strand.
struct TcpStream::Impl : std::enable_shared_from_this<TcpStream::Impl> {
  static constexpr std::size_t kReadBytes = 8 * 1024;

  explicit Impl(boost::asio::ip::tcp::socket connected)
      : socket(std::move(connected)) {}

  void Start(Handlers new_handlers);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void Write(std::string bytes);
  void WriteFront();
  void OnWritten(const boost::system::error_code& error);
  void Close();
  void Reset();

  // Closes the socket and calls `on_closed`.
  void CloseAndNotify();

  // Closes the socket and destroys the handlers without calling them.
  void CloseSocket();

  boost::asio::ip::tcp::socket socket;
  Handlers handlers;
  std::array<char, kReadBytes> input{};
  std::deque<std::string> output;
  std::atomic<std::size_t> unsent = 0;
  bool open = true;
  bool started = false;
  bool closing = false;
  bool reading_enabled = true;
  bool read_pending = false;
};

}  // namespace marigold

#endif  // TOOLS_TCP_TCP_STREAM_IMPL_H_
