#include "tools/load/observers.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <utility>
#include <variant>

#include "src/net/http/http_client.h"

namespace marigold {

namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(1);
constexpr int kOk = 200;

// The positions of utime and stime among the fields that follow the process
// name in /proc/PID/stat, counted from 1.
constexpr int kUserTimeField = 12;
constexpr int kSystemTimeField = 13;

}  // namespace

std::optional<std::string> FetchText(WorkerPool& pool,
                                     const Endpoint& endpoint,
                                     std::string_view path) {
  auto connection = std::make_shared<HttpConnection>(pool, endpoint);
  auto fetched = std::make_shared<std::promise<std::optional<std::string>>>();
  auto future = fetched->get_future();
  connection->Connect(kFetchTimeout, [connection, fetched,
                                      path =
                                          std::string(path)](bool connected) {
    if (!connected) {
      fetched->set_value(std::nullopt);
      return;
    }
    connection->Exchange(
        HttpMethod::kGet, path, "", kFetchTimeout,
        [connection, fetched](ExchangeOutcome outcome) {
          auto* response = std::get_if<HttpResponse>(&outcome);
          const bool is_good = response != nullptr && response->status == kOk;
          fetched->set_value(is_good ? std::optional(std::move(response->body))
                                     : std::nullopt);
        });
  });
  return future.get();
}

std::optional<Counters> ParseStandinCounters(std::string_view text,
                                             std::string_view service) {
  boost::json::error_code error;
  const boost::json::value document =
      boost::json::parse({text.data(), text.size()}, error);
  if (error) {
    return std::nullopt;
  }
  const auto* found =
      document.find_pointer(fmt::format("/services/{}", service), error);
  if (found == nullptr || !found->is_object()) {
    return std::nullopt;
  }
  Counters counters;
  for (const auto& item : found->get_object()) {
    counters[std::string(item.key())] = item.value().to_number<double>();
  }
  return counters;
}

Counters ParsePrometheusCounters(std::string_view text) {
  Counters counters;
  for (const std::string& line : Split(text, '\n')) {
    const std::size_t space = line.rfind(' ');
    const std::string name = line.substr(0, line.find_first_of("{ "));
    if (line.starts_with('#') || space == std::string::npos ||
        !name.ends_with("_total")) {
      continue;
    }
    if (const auto value =
            ParseDecimalNumber(std::string_view(line).substr(space + 1))) {
      counters[line.substr(0, space)] += *value;
    }
  }
  return counters;
}

Counters Difference(const Counters& before, const Counters& after) {
  Counters difference;
  for (const auto& [name, value] : after) {
    const auto old = before.find(name);
    difference[name] = value - (old == before.end() ? 0 : old->second);
  }
  return difference;
}

std::optional<Duration> ProcessorTime(std::int64_t pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string text;
  if (!std::getline(file, text)) {
    return std::nullopt;
  }
  // The process name may contain spaces and ends with the last parenthesis.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::vector<std::string> words;
  for (std::string word; fields >> word;) {
    words.push_back(word);
  }
  const auto user = ParseWholeNumber(words.at(kUserTimeField - 1));
  const auto system = ParseWholeNumber(words.at(kSystemTimeField - 1));
  if (!user || !system) {
    return std::nullopt;
  }
  return FromSeconds(static_cast<double>(*user + *system) /
                     static_cast<double>(sysconf(_SC_CLK_TCK)));
}

Observation TakeObservation(WorkerPool& pool,
                            const ObservationTargets& targets) {
  Observation observation;
  if (targets.standin) {
    if (const auto text = FetchText(pool, *targets.standin, "/v1/counters")) {
      observation.standin = ParseStandinCounters(*text, targets.service);
    }
  }
  for (const Endpoint& entry : targets.entries) {
    if (const auto text = FetchText(pool, entry, "/metrics")) {
      for (const auto& [name, value] : ParsePrometheusCounters(*text)) {
        observation.entries[name] += value;
      }
    }
  }
  for (const std::int64_t pid : targets.entry_pids) {
    if (const auto time = ProcessorTime(pid)) {
      observation.entry_time =
          observation.entry_time.value_or(Duration()) + *time;
    }
  }
  return observation;
}

}  // namespace marigold
