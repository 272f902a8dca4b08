// Simulates callers of the platform's entry VMs for fault_soak.sh. Each thread
// is one caller that keeps its connection open, sends queries and actions, and
// checks every answer. Exits with 1 if an answer is wrong.

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
  // The file to which a line "ID STATUS" is appended for each action. The
  // status is 0 if there was no complete answer.
  std::string actions = "/dev/null";
};

// The results of all threads.
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

// One caller. It uses the same connection until that fails or is closed.
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

  // Sends a request and returns the reply, or nothing if no complete reply
  // arrives in time.
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
      this->results.AddViolation(fmt::format(
          "{}: the answer contains parts of other requests: {}", id, stamps));
    }
    if (parts + std::stoul("0" + missing) !=
        static_cast<std::size_t>(this->settings.shards)) {
      this->results.AddViolation(fmt::format(
          "{}: {} parts and {} missing parts don't add up to all shards", id,
          parts, missing));
    }
    // Each part contains two records. The merged records are in descending
    // order.
    if (reply->body().size() != 2 * parts * kRecordBytes ||
        !std::is_sorted(reply->body().rbegin(), reply->body().rend())) {
      this->results.AddViolation(fmt::format(
          "{}: the body of {} bytes is not the merged records of {} parts", id,
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
  marigold::SettingsTable table("platform-caller",
                                "Simulates callers of entry VMs.");
  table.AddEndpoints("entries", settings.entries,
                     "Addresses of the entry VMs.");
  table.AddNumber("seed", settings.seed, 1, 1'000'000'000, "seed",
                  "Seed of the random requests.");
  table.AddNumber("threads", settings.threads, 1, 64, "threads",
                  "Number of callers.");
  table.AddDecimal("seconds", settings.seconds, 0.1, 3'600, "s",
                   "Time for which requests are sent.");
  table.AddNumber("shards", settings.shards, 1, 1'000, "shards",
                  "Number of shards of a query.");
  table.AddText("actions", settings.actions, "file",
                "File to which the status of each action is appended.");
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  return marigold::Run(settings);
}
