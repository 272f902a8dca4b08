#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "src/core/random.h"
#include "src/policy/congestion_count.h"
#include "src/policy/forward_admission.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A kind of request of a customer, with random arrivals.
struct Stream {
  std::string customer;
  std::string route;
  RequestPriority priority;
  double rate = 1;
  // The rate between the times `surge_from` and `surge_until`, in seconds.
  double surge_rate = 0;
  double surge_from = 0;
  double surge_until = 0;
};

struct Counts {
  double offered = 0;
  double served = 0;
  double refused = 0;
  double fraction() const { return this->served / std::max(offered, 1.0); }
};

// The backend servers that the simulated requests use.
struct Servers {
  // The number of requests that run at the same time without a queue.
  std::size_t slots = 1'000'000;
  // More requests are refused by the servers.
  std::size_t queue_length = 1'000'000;
  Duration work = milliseconds(100);
  bool reports_load = true;
  // The fraction of the answers that state a queue without there being one.
  double false_queueing = 0;
  double false_overload = 0;
};

// One entry VM whose requests go through an `Admission`, in virtual time.
class Simulation {
 public:
  Simulation(std::vector<Stream> request_streams,
             const Servers& backend_servers,
             std::uint64_t seed)
      : streams(std::move(request_streams)),
        servers(backend_servers),
        admission(ForwardAdmissionSettings()),
        random(seed),
        counts(streams.size()) {}

  // Counts the requests that arrive between two times, in seconds, and runs
  // until they have ended.
  void Run(double count_from, double count_until) {
    constexpr double kLongestRequestS = 5;
    this->counted_from = MonotonicTime(FromSeconds(count_from));
    this->counted_until = MonotonicTime(FromSeconds(count_until));
    for (std::size_t i = 0; i < this->streams.size(); ++i) {
      this->ScheduleArrival(MonotonicTime(), i);
    }
    const MonotonicTime end(FromSeconds(count_until + kLongestRequestS));
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto node = this->events.extract(this->events.begin());
      this->ExpireUntil(node.key());
      this->now = node.key();
      node.mapped()();
    }
  }

  // Adds the counts of another run of the same streams.
  void Add(const Simulation& other) {
    for (std::size_t i = 0; i < this->counts.size(); ++i) {
      this->counts[i].offered += other.counts[i].offered;
      this->counts[i].served += other.counts[i].served;
      this->counts[i].refused += other.counts[i].refused;
    }
  }

  Counts CountsOf(const std::function<bool(const Stream&)>& matches) const {
    Counts sum;
    for (std::size_t i = 0; i < this->streams.size(); ++i) {
      if (matches(this->streams[i])) {
        sum.offered += this->counts[i].offered;
        sum.served += this->counts[i].served;
        sum.refused += this->counts[i].refused;
      }
    }
    return sum;
  }

  Counts All() const {
    return this->CountsOf([](const Stream&) { return true; });
  }

  const std::vector<Stream>& all_streams() const { return this->streams; }

 private:
  void ScheduleArrival(MonotonicTime from, std::size_t index) {
    const Stream& stream = this->streams[index];
    const double at = ToSeconds(from.time_since_epoch());
    const bool surges = at >= stream.surge_from && at < stream.surge_until;
    const double gap = -std::log(1 - this->random.NextDouble()) /
                       (surges ? stream.surge_rate : stream.rate);
    this->events.emplace(from + FromSeconds(gap), [this, index] {
      this->ScheduleArrival(this->now, index);
      this->Arrive(index);
    });
  }

  void Arrive(std::size_t index) {
    const Stream& stream = this->streams[index];
    const bool is_counted =
        this->now >= this->counted_from && this->now < this->counted_until;
    const TicketId ticket(++this->last_ticket);
    this->calls[ticket] = {index, this->now, is_counted};
    this->counts[index].offered += is_counted ? 1 : 0;
    const AdmissionDecision decision = this->admission.Offer(
        this->now,
        {ticket, CustomerId(stream.customer), ServiceId(stream.route),
         std::nullopt, this->now + seconds(2), stream.priority});
    if (std::holds_alternative<AdmissionGranted>(decision)) {
      this->Start(ticket);
    } else if (std::holds_alternative<Refusal>(decision)) {
      this->counts[index].refused += is_counted ? 1 : 0;
      this->calls.erase(ticket);
    }
  }

  // A server runs requests one at a time per slot, in order of arrival.
  void Start(TicketId ticket) {
    this->calls[ticket].started_at = this->now;
    const bool is_queued = this->at_servers >= this->servers.slots;
    if (this->at_servers >= this->servers.slots + this->servers.queue_length) {
      this->events.emplace(this->now + milliseconds(5), [this, ticket] {
        this->Finish(ticket, false, Congestion::kOverload);
      });
      return;
    }
    ++this->at_servers;
    const Congestion congestion = is_queued && this->servers.reports_load
                                      ? Congestion::kQueueing
                                      : this->FalseSignal();
    if (is_queued) {
      this->server_queue.push({ticket, congestion});
    } else {
      this->RunAtServer(ticket, congestion);
    }
  }

  Congestion FalseSignal() {
    const double draw = this->random.NextDouble();
    if (draw < this->servers.false_overload) {
      return Congestion::kOverload;
    }
    return draw < this->servers.false_overload + this->servers.false_queueing
               ? Congestion::kQueueing
               : Congestion::kNone;
  }

  void RunAtServer(TicketId ticket, Congestion congestion) {
    this->events.emplace(
        this->now + this->servers.work, [this, ticket, congestion] {
          --this->at_servers;
          if (!this->server_queue.empty()) {
            const auto [next, next_congestion] = this->server_queue.front();
            this->server_queue.pop();
            this->RunAtServer(next, next_congestion);
          }
          this->Finish(ticket, true, congestion);
        });
  }

  void Finish(TicketId ticket, bool is_served, Congestion congestion) {
    const Call call = this->calls.extract(ticket).mapped();
    if (call.is_counted) {
      (is_served ? this->counts[call.stream].served
                 : this->counts[call.stream].refused) += 1;
    }
    this->Apply(this->admission.Complete(
        this->now, ticket, this->now - call.started_at, congestion));
  }

  void ExpireUntil(MonotonicTime time) {
    while (this->admission.NextExpiry() <= time) {
      this->now = std::max(this->now, this->admission.NextExpiry());
      this->Apply(this->admission.Expire(this->now));
    }
  }

  void Apply(const EndedWaits& ended) {
    for (const TicketId ticket : ended.ready) {
      this->Start(ticket);
    }
    for (const TicketId ticket : ended.expired) {
      const Call call = this->calls.extract(ticket).mapped();
      this->counts[call.stream].refused += call.is_counted ? 1 : 0;
    }
  }

  struct Call {
    std::size_t stream = 0;
    MonotonicTime started_at;
    bool is_counted = false;
  };

  std::vector<Stream> streams;
  Servers servers;
  Admission admission;
  SeededRandom random;
  std::vector<Counts> counts;
  MonotonicTime now;
  MonotonicTime counted_from;
  MonotonicTime counted_until;
  std::uint64_t last_ticket = 0;
  std::map<TicketId, Call> calls;
  std::multimap<MonotonicTime, std::function<void()>> events;
  std::queue<std::pair<TicketId, Congestion>> server_queue;
  std::size_t at_servers = 0;
};

constexpr RequestPriority kHigh{0, 3};
constexpr RequestPriority kMiddle{1, 2};
constexpr RequestPriority kLow{2, 1};

// Customers of equal rates; the first one has another rate during a surge.
std::vector<Stream> EqualCustomers(std::size_t count,
                                   double rate,
                                   double surge_factor = 1) {
  std::vector<Stream> streams;
  for (std::size_t i = 0; i < count; ++i) {
    streams.push_back({"c" + std::to_string(i), "route", kHigh, rate});
  }
  streams[0].surge_rate = rate * surge_factor;
  streams[0].surge_from = 5;
  streams[0].surge_until = 12;
  return streams;
}

// Customers whose rates differ by a factor of `count`.
std::vector<Stream> UnequalCustomers(std::size_t count, double total_rate) {
  double sum = 0;
  for (std::size_t i = 1; i <= count; ++i) {
    sum += 1.0 / static_cast<double>(i);
  }
  std::vector<Stream> streams;
  for (std::size_t i = 1; i <= count; ++i) {
    streams.push_back({"c" + std::to_string(i), "route", kHigh,
                       total_rate / sum / static_cast<double>(i)});
  }
  return streams;
}

// The events of one `Admission` with room for one request.
struct WaitRow {
  // The comment of each row describes the failure that the row guards against.
  const char* behaviour;
  std::string (*actual)();
  const char* expected;
};

class OneAtATime {
 public:
  // Returns "run", "queued" or "refused".
  std::string Offer(std::uint64_t ticket,
                    const std::string& customer,
                    RequestPriority priority) {
    const AdmissionDecision decision = this->admission.Offer(
        this->now, {TicketId(ticket), CustomerId(customer), ServiceId("route"),
                    std::nullopt, this->now + seconds(1), priority});
    if (std::holds_alternative<Refusal>(decision)) {
      return "refused";
    }
    return std::holds_alternative<AdmissionGranted>(decision) ? "run"
                                                              : "queued";
  }

  // Ends running requests until none waits. Returns their tickets in order.
  std::string Drain(std::uint64_t running) {
    std::string order;
    std::vector<TicketId> ready{TicketId(running)};
    while (!ready.empty()) {
      ready =
          this->admission.Complete(this->now, ready.front(), milliseconds(1))
              .ready;
      order += ready.empty() ? "" : std::to_string(ready.front().value());
    }
    return order;
  }

  Admission admission{[] {
    AdmissionSettings settings = ForwardAdmissionSettings();
    settings.max_capacity = 1;
    return settings;
  }()};
  MonotonicTime now{seconds(1)};
};

const WaitRow kWaitRows[] = {
    // A request of high priority waits behind others that came before it.
    {"starts the highest priority first",
     [] {
       OneAtATime one;
       one.Offer(1, "a", kLow);
       one.Offer(2, "b", kLow);
       one.Offer(3, "c", kMiddle);
       one.Offer(4, "d", kHigh);
       return one.Drain(1);
     },
     "432"},
    // Requests of one customer overtake each other.
    {"keeps the order of a customer's requests of one priority",
     [] {
       OneAtATime one;
       for (std::uint64_t ticket = 1; ticket <= 5; ++ticket) {
         one.Offer(ticket, "a", kHigh);
       }
       return one.Drain(1);
     },
     "2345"},
    // The request of a caller that left keeps its place or is started.
    {"forgets a withdrawn request that waits",
     [] {
       OneAtATime one;
       one.Offer(1, "a", kHigh);
       one.Offer(2, "a", kHigh);
       one.Offer(3, "a", kHigh);
       one.admission.Withdraw(one.now, TicketId(2));
       const std::string order = one.Drain(1);
       return fmt::format("{} {} {}", order, one.admission.waiting(),
                          one.admission.running());
     },
     "3 0 0"},
    // The capacity of a request that was withdrawn as it started is lost.
    {"starts the next request in place of a withdrawn one",
     [] {
       OneAtATime one;
       one.Offer(1, "a", kHigh);
       one.Offer(2, "a", kHigh);
       const EndedWaits ended = one.admission.Withdraw(one.now, TicketId(1));
       return std::to_string(ended.ready.at(0).value()) + one.Drain(2);
     },
     "2"},
    // A request waits until its deadline instead of being refused early.
    {"refuses a request after the maximum wait",
     [] {
       OneAtATime one;
       one.Offer(1, "a", kHigh);
       one.Offer(2, "a", kHigh);
       const Duration wait = one.admission.NextExpiry() - one.now;
       one.now += wait;
       return fmt::format("{} ms {}", ToMilliseconds(wait),
                          one.admission.Expire(one.now).expired.size());
     },
     "100 ms 1"},
};

// A customer that surges, a large one and several small ones.
std::vector<Stream> LargeCustomerBesideSurge() {
  std::vector<Stream> streams = EqualCustomers(10, 3, 30);
  streams[1].rate = 35;
  return streams;
}

struct NoRefusalRow {
  const char* load;
  std::vector<Stream> streams;
  Servers servers;
  // Requests of a customer that sends more than 1.75 times its share by chance
  // may be refused while queues are stated.
  double permitted_fraction = 0;
};

// Guards against requests that are refused although the servers have room: at a
// start without any experience, after a quiet time, with long requests, and
// because of signals that are wrong.
const NoRefusalRow kNoRefusalRows[] = {
    {"one request per second of many customers",
     UnequalCustomers(20, 1),
     {.work = milliseconds(300)}},
    {"requests that take seconds",
     UnequalCustomers(20, 4),
     {.work = milliseconds(3'000)}},
    {"a customer that sends seven times its rate",
     EqualCustomers(5, 1, 7),
     {.work = milliseconds(600)}},
    {"a busy VM", UnequalCustomers(82, 128), {.work = milliseconds(300)}},
    {"queues stated at one request per second",
     EqualCustomers(4, 0.3),
     {.work = milliseconds(300), .false_queueing = 0.3}},
    {"overload stated at one request per second",
     EqualCustomers(4, 0.3),
     {.work = milliseconds(300), .false_overload = 0.3}},
    {"overload always stated at one request per second",
     EqualCustomers(4, 0.3),
     {.work = milliseconds(300), .false_overload = 1}},
    {"queues always stated to a customer larger than the others",
     {{"large", "route", kHigh, 1.2},
      {"b", "route", kHigh, 0.3},
      {"c", "route", kHigh, 0.3},
      {"d", "route", kHigh, 0.3}},
     {.work = milliseconds(300), .false_queueing = 1}},
    {"queues always stated to customers of equal rates",
     EqualCustomers(10, 4),
     {.work = milliseconds(100), .false_queueing = 1},
     0.002},
    {"three priorities at one request per second",
     {{"a", "first", kHigh, 0.5},
      {"a", "second", kMiddle, 0.5},
      {"b", "third", kLow, 0.5}},
     {.work = milliseconds(600), .false_queueing = 0.5}},
};

// Returns what is wrong with the outcome, or an empty text.
using Check = std::string (*)(const Simulation&);

// During a surge of the first customer, the others send no more than their
// share.
std::string OthersKeepTheirShare(const Simulation& simulation) {
  const std::string surging = simulation.all_streams().front().customer;
  const Counts others = simulation.CountsOf(
      [&](const Stream& stream) { return stream.customer != surging; });
  return others.fraction() >= 0.95
             ? ""
             : fmt::format("others are served {:.3f}", others.fraction());
}

// No customer and no kind of request is served less than a quarter as often as
// all requests, and no kind less often than one of lower priority.
std::string SharesAreFair(const Simulation& simulation) {
  constexpr double kSmallestPart = 0.25;
  const double all = simulation.All().fraction();
  std::map<std::uint32_t, double> fraction_by_level;
  for (const Stream& stream : simulation.all_streams()) {
    const Counts customer = simulation.CountsOf(
        [&](const Stream& other) { return other.customer == stream.customer; });
    const Counts kind = simulation.CountsOf(
        [&](const Stream& other) { return other.route == stream.route; });
    fraction_by_level[stream.priority.level] = kind.fraction();
    if (customer.fraction() < kSmallestPart * all ||
        kind.fraction() < kSmallestPart * all) {
      return fmt::format("{}/{} is served {:.3f}/{:.3f} of all {:.3f}",
                         stream.customer, stream.route, customer.fraction(),
                         kind.fraction(), all);
    }
  }
  for (auto level = fraction_by_level.begin(); level != fraction_by_level.end();
       ++level) {
    const auto lower = std::next(level);
    if (lower != fraction_by_level.end() && level->second < lower->second) {
      return fmt::format("level {} is served {:.3f}, level {} {:.3f}",
                         level->first, level->second, lower->first,
                         lower->second);
    }
  }
  return "";
}

// A limit outlasts its cause.
std::string ServesAlmostAll(const Simulation& simulation) {
  const Counts all = simulation.All();
  return all.fraction() >= 0.995 ? ""
                                 : fmt::format("served {:.3f}", all.fraction());
}

constexpr std::uint64_t kRuns = 8;

struct LoadRow {
  const char* load;
  std::vector<Stream> streams;
  Servers servers;
  // The requests that arrive between these times count, in seconds.
  double from = 0;
  double until = 0;
  Check check;
};

// Servers for 100 requests per second, with short queues.
constexpr Servers kServers{.slots = 10,
                           .queue_length = 20,
                           .work = milliseconds(100)};
constexpr Servers kSilentServers{.slots = 10,
                                 .queue_length = 20,
                                 .work = milliseconds(100),
                                 .reports_load = false};

// Several customers with requests of each of three priorities.
std::vector<Stream> ThreePriorities(double high, double middle, double low) {
  std::vector<Stream> streams;
  for (int i = 0; i < 10; ++i) {
    const std::string customer = "c" + std::to_string(i);
    streams.push_back({customer, "high", kHigh, high / 10});
    streams.push_back({customer, "middle", kMiddle, middle / 10});
    streams.push_back({customer, "low", kLow, low / 10});
  }
  return streams;
}

// Guards against a customer or a kind of request that takes the room of others
// while servers are short of capacity, and against limits that remain.
const LoadRow kLoadRows[] = {
    {"a surge of one of 10 customers", EqualCustomers(10, 8, 7), kServers, 6,
     12, OthersKeepTheirShare},
    {"a surge of one of 40 customers", EqualCustomers(40, 2, 14), kServers, 6,
     12, OthersKeepTheirShare},
    {"a surge while servers report no load", EqualCustomers(10, 8, 7),
     kSilentServers, 6, 12, OthersKeepTheirShare},
    {"after a surge", EqualCustomers(10, 7, 14), kServers, 14, 40,
     ServesAlmostAll},
    {"after a surge while servers report no load", EqualCustomers(10, 7, 14),
     kSilentServers, 14, 40, ServesAlmostAll},
    {"a large customer after the surge of another", LargeCustomerBesideSurge(),
     kServers, 14, 20, ServesAlmostAll},
    {"two priorities of one service",
     {{"a", "high", kHigh, 100}, {"a", "low", kLow, 100}},
     kServers,
     5,
     60,
     SharesAreFair},
    {"little traffic of low priority",
     {{"a", "high", kHigh, 180}, {"a", "low", kLow, 20}},
     kServers,
     5,
     60,
     SharesAreFair},
    {"much traffic of low priority",
     {{"a", "high", kHigh, 20}, {"a", "low", kLow, 180}},
     kServers,
     5,
     60,
     SharesAreFair},
    {"three priorities", ThreePriorities(72, 126, 42), kServers, 5, 60,
     SharesAreFair},
    {"three priorities while servers report no load",
     ThreePriorities(72, 126, 42), kSilentServers, 5, 60, SharesAreFair},
    {"82 customers of very different size", UnequalCustomers(82, 200), kServers,
     5, 60, SharesAreFair},
    {"82 customers while servers report no load", UnequalCustomers(82, 200),
     kSilentServers, 5, 60, SharesAreFair},
};

}  // namespace

ParameterizedTestParameters(ForwardAdmission, RefusesNothingWithRoom) {
  return RowIndices(kNoRefusalRows);
}

ParameterizedTest(std::size_t* index,
                  ForwardAdmission,
                  RefusesNothingWithRoom) {
  const NoRefusalRow& row = kNoRefusalRows[*index];
  Simulation simulation(row.streams, row.servers, 1);
  simulation.Run(0, 120);
  const Counts all = simulation.All();
  cr_assert(
      all.offered > 50 && all.refused <= row.permitted_fraction * all.offered,
      "%s: expected at most the fraction %g, actual %g of %g", row.load,
      row.permitted_fraction, all.refused, all.offered);
}

ParameterizedTestParameters(ForwardAdmission, DividesShortCapacity) {
  return RowIndices(kLoadRows);
}

ParameterizedTest(std::size_t* index, ForwardAdmission, DividesShortCapacity) {
  const LoadRow& row = kLoadRows[*index];
  Simulation simulation(row.streams, row.servers, 1);
  simulation.Run(row.from, row.until);
  // Random arrivals differ between runs, so the sum over several is checked.
  for (std::uint64_t seed = 2; seed <= kRuns; ++seed) {
    Simulation other(row.streams, row.servers, seed);
    other.Run(row.from, row.until);
    simulation.Add(other);
  }
  const std::string violation = row.check(simulation);
  cr_assert(violation.empty(), "%s: %s", row.load, violation.c_str());
}

ParameterizedTestParameters(ForwardAdmission, OrdersWaitingRequests) {
  return RowIndices(kWaitRows);
}

ParameterizedTest(std::size_t* index, ForwardAdmission, OrdersWaitingRequests) {
  const WaitRow& row = kWaitRows[*index];
  const std::string actual = row.actual();
  cr_assert_eq(actual, std::string(row.expected),
               "%s: expected \"%s\", actual \"%s\"", row.behaviour,
               row.expected, actual.c_str());
}

}  // namespace marigold
