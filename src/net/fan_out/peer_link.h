#ifndef SRC_NET_FAN_OUT_PEER_LINK_H_
#define SRC_NET_FAN_OUT_PEER_LINK_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/settings_values.h"
#include "src/net/forward/strand.h"
#include "src/wire/frame.h"

namespace marigold {

// Callbacks of a link. All calls are made on its strand.
struct PeerLinkHandlers {
  // Called for each message that arrives.
  std::function<void(std::string_view body)> on_body;
  // Called once, when the link has closed. `was_open` is false if it never
  // connected, in which case no message was delivered. The reason is a stable
  // text for logs.
  std::function<void(bool was_open, std::string_view reason)> on_closed;
};

// A connection between two entry VMs that carries messages in both directions.
// It has no timers of its own while it is idle, because an entry VM holds many
// such connections. Used only on its strand.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  explicit PeerLink(std::shared_ptr<Strand> owning_strand);
  // Wraps an accepted connection.
  PeerLink(std::shared_ptr<Strand> owning_strand,
           boost::asio::ip::tcp::socket accepted);

  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Begins to connect. Messages are queued until the link is open.
  void Connect(const Endpoint& endpoint, PeerLinkHandlers link_handlers);
  // Begins to read from an accepted connection.
  void Start(PeerLinkHandlers link_handlers);

  // Sends a message. Returns false and closes the link if the peer has not
  // taken the earlier messages for so long that 1 MiB is queued.
  bool Send(std::string_view body);

  void Close(std::string_view reason = "closed_here");

  // The address of the peer, for logs.
  std::string remote_address() const;
  // The time of the last message, or of the opening if that is later.
  MonotonicTime last_received_at() const { return this->received_at; }

 private:
  using ErrorCode = boost::system::error_code;
  enum class State { kConnecting, kOpen, kClosed };

  void OnConnected(const ErrorCode& error);
  void BeginReading();
  void AwaitBytes();
  void OnReadable(const ErrorCode& error);
  void Write();

  std::shared_ptr<Strand> strand;
  boost::asio::ip::tcp::socket socket;
  PeerLinkHandlers handlers;
  FrameReader reader;
  std::vector<char> read_buffer;
  // The frames that have not been written, and whether a write is pending.
  std::string unsent;
  bool is_write_pending = false;
  State state = State::kConnecting;
  bool was_open = false;
  MonotonicTime received_at;
  std::optional<Strand::TimerKey> connect_timer;
};

}  // namespace marigold

#endif  // SRC_NET_FAN_OUT_PEER_LINK_H_
