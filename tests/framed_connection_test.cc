#include "src/net/control/framed_connection.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>
#include <variant>

#include "src/net/control/framed_server.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

namespace asio = boost::asio;

// Criterion runs tests concurrently, each in its own process, so the address
// depends on the process id.
const Endpoint kServer{
    fmt::format("127.77.{}.{}", getpid() / 250 % 250, getpid() % 250 + 1),
    7177};
constexpr auto kWaitLimit = std::chrono::seconds(10);

// A server that echoes every body and reports why its first connection closed.
class EchoServer {
 public:
  explicit EchoServer(FramedLimits limits) : pool(2) {
    auto listening = Capture<std::unique_ptr<FramedServer>>([&] {
      return FramedServer::Listen(
          this->pool, kServer, limits, 10,
          [this](const std::shared_ptr<FramedConnection>& connection) {
            this->Serve(connection);
          });
    });
    this->server =
        std::move(std::get<std::unique_ptr<FramedServer>>(listening));
  }

  void Serve(const std::shared_ptr<FramedConnection>& connection) {
    FramedHandlers handlers;
    handlers.on_body = [connection](const std::string& body) {
      connection->Send(body);
    };
    handlers.on_closed = [this](CloseReason reason) {
      this->close_reason.set_value(reason);
    };
    connection->Start(std::move(handlers));
  }

  std::string WaitForCloseReason() {
    auto future = this->close_reason.get_future();
    if (future.wait_for(kWaitLimit) != std::future_status::ready) {
      return "still open";
    }
    return std::string(ToString(future.get()));
  }

  std::promise<CloseReason> close_reason;
  WorkerPool pool;
  std::unique_ptr<FramedServer> server;
};

// A client that writes raw bytes.
class RawClient {
 public:
  RawClient() : socket(this->context) {
    this->socket.connect(
        {asio::ip::make_address(kServer.address), kServer.port});
  }

  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(this->socket, asio::buffer(bytes), ignored);
  }

  asio::io_context context;
  asio::ip::tcp::socket socket;
};

std::string Frame(const std::string& body) {
  std::string frame;
  AppendFrame(body, frame);
  return frame;
}

std::string DamagedFrame() {
  std::string frame = Frame("body");
  frame.back() = 'x';
  return frame;
}

struct CloseRow {
  const char* scenario;
  std::string sent_bytes;
  bool client_closes;
  const char* expected_reason;
  // How long the connection may be silent, from its start and later.
  Duration first_frame_timeout = Duration::zero();
  Duration silence_timeout = std::chrono::milliseconds(200);
};

// Longer than a test waits.
constexpr Duration kNever = std::chrono::seconds(60);

// Guards against a connection that stays open although its peer is silent or
// sends invalid frames, and against a wrong close reason.
const CloseRow kCloseRows[] = {
    {"nothing sent", "", false, "silent"},
    {"half a frame", Frame("body").substr(0, 14), false, "silent"},
    {"damaged frame", DamagedFrame(), false, "bad_frame"},
    {"length too high", "\xff\xff\xff\xff........", false, "bad_frame"},
    {"closed by the client", Frame("body"), true, "closed_by_peer"},
    {"nothing sent within the shorter timeout of the first frame", "", false,
     "silent", std::chrono::milliseconds(200), kNever},
    {"silent after the first frame, whose timeout no longer counts",
     Frame("body"), false, "silent", kNever, std::chrono::milliseconds(200)},
};

}  // namespace

ParameterizedTestParameters(FramedConnection, ReportsCloseReason) {
  return RowIndices(kCloseRows);
}

ParameterizedTest(std::size_t* index, FramedConnection, ReportsCloseReason) {
  const CloseRow& row = kCloseRows[*index];
  FramedLimits limits;
  limits.silence_timeout = row.silence_timeout;
  limits.first_frame_timeout = row.first_frame_timeout;
  EchoServer server(limits);
  RawClient client;
  client.Write(row.sent_bytes);
  if (row.client_closes) {
    std::string echo(row.sent_bytes.size(), '\0');
    asio::read(client.socket, asio::buffer(echo));
    client.socket.close();
  }
  const std::string actual = server.WaitForCloseReason();
  cr_assert_eq(actual, std::string(row.expected_reason),
               "%s: expected %s, actual %s", row.scenario, row.expected_reason,
               actual.c_str());
}

// Guards against unsent bytes that stay in memory for as long as a peer keeps
// its connection open and reads nothing.
Test(FramedConnection, ReceiverThatReadsNothingIsDropped) {
  FramedLimits limits;
  limits.write_timeout = std::chrono::milliseconds(200);
  EchoServer server(limits);
  RawClient client;
  for (int i = 0; i < 4; ++i) {
    client.Write(Frame(std::string(kMaxFrameBodyBytes, 'x')));
  }
  const std::string actual = server.WaitForCloseReason();
  cr_assert_eq(actual, std::string("slow_receiver"),
               "expected slow_receiver, actual %s", actual.c_str());
}

// Guards against bodies that are lost, reordered or merged when many frames are
// queued for one write.
Test(FramedConnection, BodiesArriveInOrder) {
  constexpr int kBodies = 1000;
  EchoServer server({});
  WorkerPool pool(2);
  std::promise<std::string> received_echoes;
  std::string echoes;
  int count = 0;
  FramedHandlers handlers;
  handlers.on_body = [&](const std::string& body) {
    echoes += body + " ";
    if (++count == kBodies) {
      received_echoes.set_value(echoes);
    }
  };
  handlers.on_closed = [](CloseReason) {};
  const auto client = FramedConnection::Create(pool, {});
  client->Connect(kServer, std::move(handlers));
  std::string expected;
  for (int i = 0; i < kBodies; ++i) {
    client->Send(std::to_string(i));
    expected += std::to_string(i) + " ";
  }
  auto future = received_echoes.get_future();
  cr_assert(future.wait_for(kWaitLimit) == std::future_status::ready,
            "expected %d bodies, actual %d", kBodies, count);
  cr_assert(future.get() == expected, "expected the bodies in the order sent");
  client->Close();
}

// Guards against a failed connect that is not reported. The owner would then
// keep sending on a connection that never opens.
Test(FramedConnection, FailedConnectIsReported) {
  WorkerPool pool(1);
  std::promise<CloseReason> close_reason;
  FramedHandlers handlers;
  handlers.on_closed = [&](CloseReason reason) {
    close_reason.set_value(reason);
  };
  const auto client = FramedConnection::Create(pool, {});
  client->Connect(kServer, std::move(handlers));
  auto future = close_reason.get_future();
  cr_assert(future.wait_for(kWaitLimit) == std::future_status::ready);
  const std::string actual(ToString(future.get()));
  cr_assert_eq(actual, std::string("connect_failed"),
               "expected connect_failed, actual %s", actual.c_str());
}

}  // namespace marigold
