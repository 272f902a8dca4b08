#include "src/net/control/peer_links.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "src/net/control/framed_server.h"
#include "tests/row_indices.h"
#include "tests/silent_listener.h"

namespace marigold {

namespace {

// The kernel retransmits a SYN packet 1 s and 3 s after the first one. The peer
// is back after 1.2 s and has to be reached within 1.5 s, so that neither
// retransmission completes a pending connect within the test.
constexpr auto kDownTime = std::chrono::milliseconds(1200);
constexpr auto kWaitLimit = std::chrono::milliseconds(1500);

struct DownRow {
  const char* scenario;
  const char* address;
  // True if connects to the peer get no answer while it is down, false if they
  // are refused.
  bool is_silent;
};

// Guards against messages that are dropped although the peer is reachable
// again, because a connect from the time when it was down is still pending or
// the backoff has not ended.
const DownRow kDownRows[] = {
    {"connect refused", "127.0.0.38", false},
    {"connect without an answer", "127.0.0.39", true},
};

}  // namespace

ParameterizedTestParameters(PeerLinks, ReconnectsAtOnceToReachablePeer) {
  return RowIndices(kDownRows);
}

ParameterizedTest(std::size_t* index,
                  PeerLinks,
                  ReconnectsAtOnceToReachablePeer) {
  const DownRow& row = kDownRows[*index];
  const Endpoint peer{row.address, 7178};
  WorkerPool pool(2);
  PeerLinks links(pool, std::chrono::seconds(10),
                  [](const Endpoint&, const std::string&) {});
  {
    std::unique_ptr<SilentListener> silent_listener;
    if (row.is_silent) {
      silent_listener = std::make_unique<SilentListener>(peer);
    }
    // Sending during this time lets the backoff after refused connects grow to
    // its maximum of 500 ms.
    const auto down_until = std::chrono::steady_clock::now() + kDownTime;
    while (std::chrono::steady_clock::now() < down_until) {
      links.Send(peer, "lost");
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  std::promise<void> message_arrived;
  auto listening = Capture<std::unique_ptr<FramedServer>>([&] {
    return FramedServer::Listen(
        pool, peer, {}, 10,
        [&](const std::shared_ptr<FramedConnection>& connection) {
          FramedHandlers handlers;
          handlers.on_body = [&](const std::string& body) {
            if (body == "sent") {
              message_arrived.set_value();
            }
          };
          handlers.on_closed = [](CloseReason) {};
          connection->Start(std::move(handlers));
        });
  });
  cr_assert(std::holds_alternative<std::unique_ptr<FramedServer>>(listening),
            "%s: the peer does not listen", row.scenario);

  links.OnPeerReachable(peer);
  links.Send(peer, "sent");

  const bool actual = message_arrived.get_future().wait_for(kWaitLimit) ==
                      std::future_status::ready;
  cr_assert(actual,
            "%s: expected the message to arrive within the limit, actual none",
            row.scenario);
}

}  // namespace marigold
