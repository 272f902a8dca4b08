#ifndef TESTS_SEARCH_FIXTURE_H_
#define TESTS_SEARCH_FIXTURE_H_

#include <fmt/format.h>

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/policy/search.h"

namespace marigold {

// Generates the attempt ids 1, 2, 3 and so on.
class AttemptSequence {
 public:
  AttemptId NextAttempt() { return AttemptId(++this->last_id); }

 private:
  std::uint64_t last_id = 0;
};

// A fleet of `shards` x `replicas` servers that hold one shard each, and one
// search over it. Server i has the index i + 1 and holds shard i / replicas.
template <class Policy>
class SearchFixture {
 public:
  SearchFixture(std::uint64_t shard_count,
                std::uint64_t replica_count,
                Policy search_policy = {})
      : shards(shard_count),
        replicas(replica_count),
        policy(std::move(search_policy)) {
    std::vector<ServerRecord> records;
    for (std::uint64_t i = 0; i < this->shards * this->replicas; ++i) {
      ServerRecord record;
      record.server = BackendServerId(fmt::format("s{}", i));
      record.service = ServiceId("lookup");
      records.push_back(record);
    }
    this->fleet.UpdateRecords(this->now, records);
    for (std::uint64_t i = 0; i < records.size(); ++i) {
      this->Report(i + 1, 1);
    }
    this->now += std::chrono::seconds(20);
  }

  // Passes a status to the fleet in which the server reports its shard under
  // one snapshot only.
  void Report(std::uint64_t server, std::uint64_t snapshot) {
    ManifestReport manifest;
    manifest.snapshot = SnapshotId(snapshot);
    for (std::uint64_t shard = 0; shard < this->shards; ++shard) {
      manifest.all_shards.emplace_back(shard);
    }
    manifest.shards = {ShardId((server - 1) / this->replicas)};
    StatusReport report;
    report.slots = 2;
    report.snapshots = {manifest};
    this->fleet.UpdateStatus(this->now, ServerIndex(server), report);
  }

  // Records replies of all servers with a latency of 10 ms, so that the typical
  // latency is known, and adds tokens to the budgets of hedged requests and
  // retries.
  void RecordUsualLatencies() {
    constexpr int kReplies = 200;
    for (int i = 0; i < kReplies; ++i) {
      for (const ServerIndex server : this->fleet.AllServers()) {
        this->fleet.OnDispatch(this->now, server);
        this->fleet.OnReply(this->now, server, std::chrono::milliseconds(10));
      }
    }
    for (int i = 0; i < kReplies; ++i) {
      this->fleet.Traffic(ServiceId("lookup"))->OnPrimary();
    }
  }

  void Start(double minimum_coverage = 0) {
    SearchRequest request;
    request.service = ServiceId("lookup");
    request.deadline = std::chrono::seconds(1);
    request.minimum_coverage = Fraction(minimum_coverage);
    this->search = std::make_unique<SearchType>(
        request, this->fleet, this->policy, this->random, this->ids);
    this->RunSteps(this->search->Start(this->now));
  }

  // Passes the reply to an attempt to the fleet and the search. `attempt_index`
  // is the position of the attempt in `sends`.
  void Reply(std::size_t attempt_index, std::uint64_t snapshot = 1) {
    const SendAttempt attempt = this->sends.at(attempt_index);
    this->fleet.OnReply(this->now, attempt.server,
                        std::chrono::milliseconds(10));
    SubReply reply{attempt.attempt, SnapshotId(snapshot), attempt.shard, {}};
    reply.matches.push_back({fmt::format("{}", snapshot), 1, ""});
    this->RunSteps(this->search->OnReply(this->now, std::move(reply)));
  }

  // Passes the failure of an attempt to the fleet and the search.
  // `attempt_index` is the position of the attempt in `sends`.
  void Fail(std::size_t attempt_index, AttemptFailure failure) {
    const SendAttempt attempt = this->sends.at(attempt_index);
    this->fleet.OnFailure(this->now, attempt.server, failure);
    this->RunSteps(
        this->search->OnFailure(this->now, attempt.attempt, failure));
  }

  // Advances the time and runs the timer of the search.
  void Wait(Duration duration) {
    this->now += duration;
    this->RunSteps(this->search->OnTimer(this->now));
  }

  // Advances the time to the timer of the search, and runs it.
  void WaitForTimer() {
    this->now = this->timer_at;
    this->RunSteps(this->search->OnTimer(this->now));
  }

  // Returns the attempts that were sent so far, such as "primary:0 hedge:0".
  std::string SentAttempts() const {
    std::string text;
    for (const SendAttempt& attempt : this->sends) {
      text += fmt::format("{}{}:{}", text.empty() ? "" : " ",
                          ToString(attempt.kind), attempt.shard.value());
    }
    return text;
  }

  // Returns the answer, such as "snapshot 1 covered 2 missing 1:deadline", the
  // refusal, or "running".
  std::string Outcome() const {
    if (!this->outcome) {
      return "running";
    }
    if (const auto* refusal = std::get_if<Refusal>(&*this->outcome)) {
      return fmt::format("{} {}", ToString(refusal->execution),
                         ToString(refusal->reason));
    }
    const auto& answer = std::get<SearchAnswer>(*this->outcome);
    std::string text =
        fmt::format("snapshot {} covered {}", answer.snapshot.value(),
                    answer.covered.size());
    for (const MissingShard& missing : answer.missing) {
      text += fmt::format(" missing {}:{}", missing.shard.value(),
                          ToString(missing.reason));
    }
    return text;
  }

  std::uint64_t shards;
  std::uint64_t replicas;
  Policy policy;
  MonotonicTime now;
  Fleet fleet;
  SeededRandom random{1};
  AttemptSequence ids;
  std::vector<SendAttempt> sends;
  std::vector<CancelAttempt> cancels;
  MonotonicTime timer_at;
  std::optional<SearchOutcome> outcome;

 private:
  using SearchType = Search<Fleet, Policy, SeededRandom, AttemptSequence>;

  void RunSteps(std::vector<SearchStep> steps) {
    for (SearchStep& step : steps) {
      std::visit([this](auto& typed_step) { this->RunStep(typed_step); }, step);
    }
  }

  void RunStep(const SendAttempt& attempt) {
    this->fleet.OnDispatch(this->now, attempt.server);
    this->sends.push_back(attempt);
  }
  void RunStep(const CancelAttempt& attempt) {
    this->fleet.OnCancel(this->now, attempt.server);
    this->cancels.push_back(attempt);
  }
  void RunStep(const SetTimer& request) { this->timer_at = request.at; }
  void RunStep(FinishSearch& finish) {
    this->outcome = std::move(finish.outcome);
  }

  std::unique_ptr<SearchType> search;
};

}  // namespace marigold

#endif  // TESTS_SEARCH_FIXTURE_H_
