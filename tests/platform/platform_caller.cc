// Callers of the platform's entry VMs, for the process soak: threads that keep
// connections open, send queries and actions, and check every answer.

#include <fmt/format.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/core/random.h"
#include "src/core/settings.h"

namespace marigold {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Reply = http::response<http::string_body>;

constexpr std::size_t kRecordBytes = 16;
constexpr int kTimeoutMs = 2500;
constexpr unsigned kOk = 200;

struct CallerSettings {
  std::vector<Endpoint> entries;
  std::int64_t seed = 1;
  std::int64_t threads = 4;
  double seconds = 8;
  std::int64_t shards = 3;
  // Takes a line "ID STATUS" for each action.
  std::string actions = "/dev/null";
};

// What all threads report to.
class Results {
 public:
  explicit Results(const std::string& path) : file(path, std::ios::app) {}

  void AddViolation(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    ++this->violations;
    fmt::print("violation: {}\n", text);
  }

  void AddAction(const std::string& id, unsigned status) {
    const std::lock_guard lock(this->mutex);
    this->file << id << ' ' << status << std::endl;
  }

  std::atomic<std::uint64_t> sent = 0;
  std::atomic<std::uint64_t> answered = 0;
  std::atomic<std::uint64_t> violations = 0;

 private:
  std::mutex mutex;
  std::ofstream file;
};

std::size_t CountOf(std::string_view text, char wanted) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), wanted));
}

// One caller, which keeps its connection until it fails.
class Caller {
 public:
  Caller(const CallerSettings& caller_settings,
         std::int64_t caller_number,
         Results& shared_results)
      : settings(caller_settings),
        number(caller_number),
        results(shared_results),
        random(static_cast<std::uint64_t>(settings.seed * 1'000 + number)) {}

  void Run() {
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::duration<double>(this->settings.seconds);
    while (std::chrono::steady_clock::now() < end) {
      const std::string id = fmt::format("s{}-c{}-{}", this->settings.seed,
                                         this->number, ++this->last_id);
      if (this->random.NextBelow(4) == 0) {
        this->SendAction(id);
      } else {
        this->SendQuery(id);
      }
      std::this_thread::sleep_for(
          std::chrono::milliseconds(this->random.NextBelow(20)));
    }
  }

 private:
  bool Connect() {
    const Endpoint& entry =
        this->settings
            .entries[this->random.NextBelow(this->settings.entries.size())];
    this->socket = std::make_unique<tcp::socket>(this->context);
    boost::system::error_code error;
    this->socket->connect({asio::ip::make_address(entry.address), entry.port},
                          error);
    if (error) {
      this->socket.reset();
      return false;
    }
    const timeval timeout{kTimeoutMs / 1000, kTimeoutMs % 1000 * 1000};
    ::setsockopt(this->socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                 &timeout, sizeof(timeout));
    this->buffer.clear();
    return true;
  }

  // Nothing if there is no whole reply.
  std::optional<Reply> Exchange(const std::string& request) {
    if (!this->socket && !this->Connect()) {
      return std::nullopt;
    }
    boost::system::error_code error;
    asio::write(*this->socket, asio::buffer(request), error);
    Reply reply;
    if (!error) {
      http::read(*this->socket, this->buffer, reply, error);
    }
    if (error || !reply.keep_alive()) {
      this->socket.reset();
    }
    return error ? std::nullopt : std::optional(std::move(reply));
  }

  static std::string FormatRequest(const std::string& id,
                                   const std::string& first_line,
                                   const std::string& body) {
    return fmt::format(
        "{} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\n"
        "X-Deadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n{}",
        first_line, id, body.size(), body);
  }

  void SendQuery(const std::string& id) {
    ++this->results.sent;
    const auto reply = this->Exchange(FormatRequest(id, "GET /x/" + id, ""));
    if (!reply || reply->result_int() != kOk) {
      return;
    }
    ++this->results.answered;
    const std::string stamps((*reply)["X-Part-Stamps"]);
    const std::string missing((*reply)["X-Missing-Parts"]);
    const std::size_t parts = CountOf(stamps, ',') + 1;
    std::size_t own_parts = 0;
    for (std::size_t at = stamps.find("/" + id + "/"); at != std::string::npos;
         at = stamps.find("/" + id + "/", at + 1)) {
      ++own_parts;
    }
    if (own_parts != parts) {
      this->results.AddViolation(
          fmt::format("{}: parts of other requests: {}", id, stamps));
    }
    if (parts + std::stoul("0" + missing) !=
        static_cast<std::size_t>(this->settings.shards)) {
      this->results.AddViolation(
          fmt::format("{}: {} parts and {} missing", id, parts, missing));
    }
    // Each part has two records.
    if (reply->body().size() != 2 * parts * kRecordBytes ||
        !std::is_sorted(reply->body().rbegin(), reply->body().rend())) {
      this->results.AddViolation(
          fmt::format("{}: a body of {} bytes for {} parts", id,
                      reply->body().size(), parts));
    }
  }

  void SendAction(const std::string& id) {
    ++this->results.sent;
    const auto reply =
        this->Exchange(FormatRequest(id, "POST /act/" + id, "x=1"));
    const unsigned status = reply ? reply->result_int() : 0;
    this->results.answered += status == kOk ? 1 : 0;
    this->results.AddAction(id, status);
  }

  const CallerSettings& settings;
  std::int64_t number;
  Results& results;
  SeededRandom random;
  asio::io_context context;
  std::unique_ptr<tcp::socket> socket;
  boost::beast::flat_buffer buffer;
  std::uint64_t last_id = 0;
};

int Run(const CallerSettings& settings) {
  Results results(settings.actions);
  std::vector<std::thread> threads;
  for (std::int64_t i = 0; i < settings.threads; ++i) {
    threads.emplace_back([&, i] { Caller(settings, i, results).Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  fmt::print("asked={} answered={} violations={}\n", results.sent.load(),
             results.answered.load(), results.violations.load());
  return results.violations == 0 ? 0 : 1;
}

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::CallerSettings settings;
  marigold::SettingsTable table("platform-caller", "Callers for the soak.");
  table.AddEndpoints("entries", settings.entries, "Entry VMs.");
  table.AddNumber("seed", settings.seed, 1, 1'000'000'000, "seed",
                  "Seed of what is asked.");
  table.AddNumber("threads", settings.threads, 1, 64, "threads", "Callers.");
  table.AddDecimal("seconds", settings.seconds, 0.1, 3'600, "s",
                   "How long to ask.");
  table.AddNumber("shards", settings.shards, 1, 1'000, "shards",
                  "Shards of a query.");
  table.AddText("actions", settings.actions, "file",
                "Takes the status of each action.");
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  return marigold::Run(settings);
}
