#ifndef SRC_NET_LISTING_LISTING_READER_H_
#define SRC_NET_LISTING_LISTING_READER_H_

#include <concepts>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/clock.h"
#include "src/core/log.h"
#include "src/core/result.h"
#include "src/net/http/http_client.h"
#include "src/net/serial_queue.h"
#include "src/policy/listing.h"

namespace marigold {

// One page of the platform's list of backend servers.
struct ListingPage {
  std::vector<ListedServer> servers;
  // Number of entries that could not be decoded. They are skipped.
  std::size_t unreadable_entries = 0;
  // The token that requests the next page. Empty on the last page.
  std::string next_token;
};

// Encodes requests for the platform's list of backend servers and decodes its
// pages. Makes no decisions.
template <class T>
concept ListingCodec = requires(std::string_view text) {
  { T::Target(text) } -> std::same_as<std::string>;
  { T::Decode(text) } -> std::same_as<Result<ListingPage>>;
};

// Reads the platform's list of backend servers page by page, one read at a
// time. All functions must be called on the queue.
template <ListingCodec Codec>
class ListingReader
    : public std::enable_shared_from_this<ListingReader<Codec>> {
 public:
  // Called with the whole list, or with nothing if it could not be read.
  using OnRead = std::function<void(std::optional<Listing>)>;

  ListingReader(WorkerPool& worker_pool,
                SerialQueue serial_queue,
                Endpoint platform)
      : pool(worker_pool),
        queue(std::move(serial_queue)),
        endpoint(std::move(platform)) {}

  ListingReader(const ListingReader&) = delete;
  ListingReader& operator=(const ListingReader&) = delete;

  // Starts a read of the list. Does nothing while a read is in progress.
  void Read(OnRead done) {
    if (this->on_read) {
      return;
    }
    this->on_read = std::move(done);
    this->listing = {};
    this->listing.observed_at = this->clock.Now();
    this->unreadable_entries = 0;
    this->page_count = 0;
    if (this->connection && this->connection->is_reusable()) {
      this->ReadPage("");
    } else {
      this->Connect();
    }
  }

  bool is_reading() const { return this->on_read != nullptr; }

 private:
  static constexpr Duration kTimeout = std::chrono::milliseconds(800);
  static constexpr std::size_t kMaxPages = 1'000;
  static constexpr int kOk = 200;

  void Connect() {
    this->connection =
        std::make_shared<HttpConnection>(this->pool, this->endpoint);
    this->connection->Connect(
        kTimeout,
        this->BindToQueue<bool>([](ListingReader& self, bool connected) {
          if (connected) {
            self.ReadPage("");
          } else {
            self.Fail("could not connect to the platform within 800 ms");
          }
        }));
  }

  void ReadPage(std::string_view token) {
    this->connection->Exchange(
        HttpMethod::kGet, Codec::Target(token), "", kTimeout,
        this->BindToQueue<ExchangeOutcome>(
            [](ListingReader& self, const ExchangeOutcome& outcome) {
              self.OnPage(outcome);
            }));
  }

  void OnPage(const ExchangeOutcome& outcome) {
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (response == nullptr || response->status != kOk) {
      this->Fail(response == nullptr
                     ? "no valid response from the platform within 800 ms"
                     : "HTTP status " + std::to_string(response->status));
      return;
    }
    auto decoded =
        Capture<ListingPage>([&] { return Codec::Decode(response->body); });
    auto* page = std::get_if<ListingPage>(&decoded);
    if (page == nullptr) {
      this->Fail(ToString(std::get<AnyError>(decoded)));
      return;
    }
    this->listing.servers.insert(this->listing.servers.end(),
                                 page->servers.begin(), page->servers.end());
    this->unreadable_entries += page->unreadable_entries;
    if (page->next_token.empty() || ++this->page_count >= kMaxPages) {
      this->Finish();
    } else {
      this->ReadPage(page->next_token);
    }
  }

  void Finish() {
    if (this->unreadable_entries != this->reported_unreadable_entries) {
      this->reported_unreadable_entries = this->unreadable_entries;
      LogEvent(LogLevel::kInfo, "listing_entries_unreadable",
               {{"entries", this->unreadable_entries},
                {"readable", this->listing.servers.size()}});
    }
    if (std::exchange(this->is_failing, false)) {
      LogEvent(LogLevel::kInfo, "listing_regained",
               {{"servers", this->listing.servers.size()}});
    }
    std::exchange(this->on_read, nullptr)(std::move(this->listing));
  }

  void Fail(const std::string& cause) {
    if (!std::exchange(this->is_failing, true)) {
      LogEvent(LogLevel::kWarning, "listing_lost", {{"cause", cause}});
    }
    std::exchange(this->on_read, nullptr)(std::nullopt);
  }

  // Returns a callback that may be called on any worker thread and runs `body`
  // on the queue, unless the read has ended by then.
  template <class Argument, class Body>
  std::function<void(Argument)> BindToQueue(Body body) {
    return [weak = this->weak_from_this(), serial = this->queue,
            body](Argument argument) {
      serial.Post([weak, body, argument = std::move(argument)] {
        const auto self = weak.lock();
        if (self && self->on_read) {
          body(*self, argument);
        }
      });
    };
  }

  WorkerPool& pool;
  SerialQueue queue;
  Endpoint endpoint;
  SystemClock clock;
  std::shared_ptr<HttpConnection> connection;
  OnRead on_read;
  Listing listing;
  std::size_t unreadable_entries = 0;
  std::size_t reported_unreadable_entries = 0;
  std::size_t page_count = 0;
  bool is_failing = false;
};

}  // namespace marigold

#endif  // SRC_NET_LISTING_LISTING_READER_H_
