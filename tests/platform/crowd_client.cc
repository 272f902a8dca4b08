// Simulates many clients that do not behave, for crowd.sh. Each one
// sends a request of legal size but for its end, or takes no answer, and keeps
// its connection open. Prints one line once every client has sent what it sends
// or was refused, then runs until a signal ends it.

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/core/settings.h"

namespace marigold {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct CrowdSettings {
  Endpoint target;
  std::string kind = "bodies";
  std::string path = "/act/crowd";
  std::int64_t clients = 100;
  std::int64_t bytes = 256 * 1024;
};

constexpr std::size_t kPieceBytes = 8 * 1024;
constexpr std::size_t kLargeChunkBytes = 16 * 1024;
constexpr int kPipelinedRequests = 100;

std::string Head(const CrowdSettings& settings,
                 std::string_view method,
                 std::string_view fields) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\n{}\r\n", method,
                     settings.path, fields);
}

// A body in chunks without its last one.
std::string ChunkedRequest(const CrowdSettings& settings,
                           std::size_t chunk_bytes) {
  std::string request =
      Head(settings, "POST", "Transfer-Encoding: chunked\r\n");
  const std::string chunk =
      fmt::format("{:x}\r\n{}\r\n", chunk_bytes, std::string(chunk_bytes, 'c'));
  const auto total_bytes = static_cast<std::size_t>(settings.bytes);
  for (std::size_t sent = 0; sent + chunk_bytes < total_bytes;
       sent += chunk_bytes) {
    request += chunk;
  }
  return request;
}

// Returns what one client sends.
std::string RequestOf(const CrowdSettings& settings) {
  const auto bytes = static_cast<std::size_t>(settings.bytes);
  if (settings.kind == "chunks") {
    return ChunkedRequest(settings, kLargeChunkBytes);
  }
  if (settings.kind == "small-chunks") {
    return ChunkedRequest(settings, 1);
  }
  if (settings.kind == "heads") {
    const std::string request =
        Head(settings, "GET", "X-Filler: " + std::string(bytes, 'h') + "\r\n");
    return request.substr(0, request.size() - 2);
  }
  if (settings.kind == "silent") {
    return Head(settings, "GET", "");
  }
  if (settings.kind == "pipelined" || settings.kind == "unread") {
    std::string requests;
    for (int i = 0; i < kPipelinedRequests; ++i) {
      requests += Head(settings, "GET", "");
    }
    return requests;
  }
  const std::size_t sent_bytes =
      settings.kind == "complete" ? bytes : bytes - 1;
  return Head(settings, "POST", fmt::format("Content-Length: {}\r\n", bytes)) +
         std::string(sent_bytes, 'b');
}

// One client's connection.
class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& context,
         const CrowdSettings& crowd_settings,
         const std::string& bytes_to_send,
         std::function<void(bool refused)> settled_handler)
      : socket(context),
        settings(crowd_settings),
        request(bytes_to_send),
        on_settled(std::move(settled_handler)),
        read_buffer(kPieceBytes) {}

  void Start() {
    this->socket.async_connect(
        tcp::endpoint(asio::ip::make_address(this->settings.target.address),
                      this->settings.target.port),
        [self = this->shared_from_this()](const error_code& error) {
          if (error) {
            self->Settle(true);
            return;
          }
          self->Write(0);
          if (self->settings.kind != "unread") {
            self->Read();
          }
        });
  }

 private:
  void Write(std::size_t from) {
    if (from == this->request.size()) {
      this->Settle(false);
      return;
    }
    const std::size_t piece =
        this->settings.kind == "pieces" ? kPieceBytes : this->request.size();
    const std::size_t size = std::min(piece, this->request.size() - from);
    asio::async_write(this->socket,
                      asio::buffer(this->request.data() + from, size),
                      [self = this->shared_from_this(), from, size](
                          const error_code& error, std::size_t /*written*/) {
                        if (error) {
                          self->Settle(true);
                        } else {
                          self->Write(from + size);
                        }
                      });
    if (this->settings.kind == "unread") {
      // The server stops to read while its answers are not taken.
      this->Settle(false);
    }
  }

  // Takes answers and notices the end of the connection.
  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->read_buffer),
        [self = this->shared_from_this()](const error_code& error,
                                          std::size_t /*size*/) {
          if (error) {
            self->Settle(true);
          } else {
            self->Read();
          }
        });
  }

  void Settle(bool is_refused) {
    if (auto settled = std::exchange(this->on_settled, nullptr)) {
      settled(is_refused);
    }
  }

  tcp::socket socket;
  const CrowdSettings& settings;
  const std::string& request;
  std::function<void(bool)> on_settled;
  std::vector<char> read_buffer;
};

int Run(const CrowdSettings& settings) {
  asio::io_context context;
  const std::string request = RequestOf(settings);
  std::int64_t unsettled = settings.clients;
  std::int64_t refused = 0;
  std::vector<std::shared_ptr<Client>> clients;
  for (std::int64_t i = 0; i < settings.clients; ++i) {
    clients.push_back(std::make_shared<Client>(
        context, settings, request, [&](bool is_refused) {
          refused += is_refused ? 1 : 0;
          if (--unsettled == 0) {
            fmt::print("settled clients={} refused={} bytes_each={}\n",
                       settings.clients, refused, request.size());
            std::fflush(stdout);
          }
        }));
    clients.back()->Start();
  }
  const auto keep_running = asio::make_work_guard(context);
  context.run();
  return 0;
}

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::CrowdSettings settings;
  marigold::SettingsTable table("crowd-client",
                                "Clients that do not behave, for tests.");
  table.AddEndpoint("target", settings.target, "Address to connect to.");
  table.AddChoice("kind", settings.kind,
                  {"bodies", "complete", "pieces", "chunks", "small-chunks",
                   "heads", "pipelined", "silent", "unread"},
                  "What the clients send, and where they stop.");
  table.AddText("path", settings.path, "path", "Path of the requests.");
  table.AddNumber("clients", settings.clients, 1, 10'000, "clients",
                  "Number of clients.");
  table.AddNumber("bytes", settings.bytes, 2, 64 * 1024 * 1024, "bytes",
                  "Size of a body, or of a long header field.");
  const marigold::SettingsOutcome outcome =
      marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  return marigold::Run(settings);
}
