#include "src/policy/control_choice.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <set>
#include <string>
#include <vector>

#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What happens when a control VM is connected to.
enum class Condition { kServes, kFrozen, kGone, kRefuses };

struct ControlVm {
  Condition condition;
  bool is_local;
  // A VM that was replaced stays a member without a vote.
  bool is_voter = true;
};

// The time after which an attempt has failed: a frozen VM accepts the
// connection and is silent, one that is gone does not answer the connect.
Duration FailureTime(Condition condition, Duration reply_timeout) {
  switch (condition) {
    case Condition::kServes:
      return Duration::zero();
    case Condition::kFrozen:
      return reply_timeout;
    case Condition::kGone:
      return milliseconds(200);
    case Condition::kRefuses:
      return milliseconds(1);
  }
  return Duration::zero();
}

struct SearchRow {
  const char* scenario;
  std::vector<ControlVm> vms;
  Duration expected_time;
};

// A VM notices after 1.5 s that its control VM has frozen. Configurations are
// in force on all VMs 3 s after their acknowledgement, so 1.5 s are left to
// find another control VM.
const SearchRow kSearchRows[] = {
    {"all serve",
     {{Condition::kServes, true}, {Condition::kServes, false}},
     {}},
    {"the local VM is frozen",
     {{Condition::kFrozen, true},
      {Condition::kServes, false},
      {Condition::kServes, false}},
     milliseconds(500)},
    {"the local VM is frozen and another one is gone",
     {{Condition::kFrozen, true},
      {Condition::kGone, false},
      {Condition::kServes, false},
      {Condition::kServes, false}},
     milliseconds(700)},
    {"the local VM is frozen and two others are gone",
     {{Condition::kFrozen, true},
      {Condition::kGone, false},
      {Condition::kGone, false},
      {Condition::kServes, false}},
     milliseconds(900)},
    {"the local VM is frozen and the others refuse connections but one",
     {{Condition::kFrozen, true},
      {Condition::kRefuses, false},
      {Condition::kRefuses, false},
      {Condition::kServes, false}},
     milliseconds(600)},
    {"two VMs are frozen",
     {{Condition::kFrozen, true},
      {Condition::kFrozen, false},
      {Condition::kServes, false},
      {Condition::kServes, false},
      {Condition::kServes, false}},
     milliseconds(1000)},
    {"two VMs are frozen and one is gone",
     {{Condition::kFrozen, true},
      {Condition::kFrozen, false},
      {Condition::kGone, true},
      {Condition::kServes, false},
      {Condition::kServes, false}},
     milliseconds(1200)},
    {"two VMs are frozen and eight were replaced",
     {{Condition::kFrozen, true},
      {Condition::kFrozen, false},
      {Condition::kGone, true, false},
      {Condition::kGone, true, false},
      {Condition::kGone, false, false},
      {Condition::kGone, false, false},
      {Condition::kGone, false, false},
      {Condition::kGone, false, false},
      {Condition::kGone, false, false},
      {Condition::kGone, false, false},
      {Condition::kServes, false},
      {Condition::kServes, false},
      {Condition::kServes, false}},
     milliseconds(1500)},
};

// During an election no control VM has a quorum.
constexpr milliseconds kElectionTime(500);

struct ElectionRow {
  const char* scenario;
  // A VM that serves has no quorum until the election has ended.
  std::vector<ControlVm> vms;
};

const ElectionRow kElectionRows[] = {
    {"all control VMs run",
     {{Condition::kServes, true},
      {Condition::kServes, false},
      {Condition::kServes, false}}},
    {"three others were replaced and are gone",
     {{Condition::kServes, true},
      {Condition::kServes, false},
      {Condition::kServes, false},
      {Condition::kGone, true, false},
      {Condition::kGone, false, false},
      {Condition::kGone, false, false}}},
    {"three others were replaced and are frozen",
     {{Condition::kServes, true},
      {Condition::kServes, false},
      {Condition::kServes, false},
      {Condition::kFrozen, true, false},
      {Condition::kFrozen, false, false},
      {Condition::kFrozen, false, false}}},
    {"the local voter is gone and two others were replaced",
     {{Condition::kGone, true},
      {Condition::kServes, false},
      {Condition::kServes, false},
      {Condition::kGone, false, false},
      {Condition::kFrozen, false, false}}},
};

Endpoint EndpointOf(std::size_t vm) {
  return {"127.0.0.1", static_cast<std::uint16_t>(7000 + vm)};
}

struct ForgetRow {
  const char* scenario;
  std::vector<int> in_settings;
  // The control VMs that consecutive heartbeats list.
  std::vector<std::vector<int>> listed;
  // The control VMs that are tried while all attempts fail at once.
  std::vector<int> expected_tried;
  // The control VMs that another entry VM names after the last heartbeat.
  std::vector<int> suggested{};
  // The control VMs that the settings name from then on.
  std::vector<int> new_settings{};
};

const ForgetRow kForgetRows[] = {
    {"a VM that has left the group is not tried",
     {0, 1},
     {{0, 1, 2, 3}, {0, 1, 3}},
     {0, 1, 3}},
    {"a VM of the settings is tried even if the group does not list it",
     {0, 1},
     {{2, 3}},
     {0, 1, 2, 3}},
    {"a heartbeat of a VM without a group changes nothing",
     {0},
     {{0, 1}, {}},
     {0, 1}},
    {"all VMs were replaced, one after the other",
     {0},
     {{0, 1}, {1, 2}, {2, 3}, {3, 4}},
     {0, 3, 4}},
    {"another entry VM names the VMs that have replaced all known ones",
     {0, 1},
     {{0, 1}},
     {0, 1, 2, 3},
     {2, 3}},
    {"the settings change before a heartbeat",
     {0, 1},
     {},
     {0, 1, 2, 3},
     {},
     {2, 3}},
    {"the settings change to none", {0, 1}, {{0, 1}}, {0, 1}, {}, {}},
    {"another entry VM names only VMs that are gone",
     {0},
     {{0, 1, 2}},
     {0, 1, 2, 3},
     {3}},
};

}  // namespace

ParameterizedTestParameters(ControlChoice, ServingVmIsFoundInTime) {
  return RowIndices(kSearchRows);
}

// Guards against an entry VM that tries a frozen local control VM again and
// again, and keeps old routes although other control VMs can be reached.
ParameterizedTest(std::size_t* index, ControlChoice, ServingVmIsFoundInTime) {
  const SearchRow& row = kSearchRows[*index];
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::vector<Endpoint> endpoints;
    for (std::size_t i = 0; i < row.vms.size(); ++i) {
      endpoints.push_back(EndpointOf(i));
    }
    ControlChoice choice(endpoints, seed);
    std::vector<ListedControl> listed;
    for (std::size_t i = 0; i < row.vms.size(); ++i) {
      listed.push_back(
          {EndpointOf(i), row.vms[i].is_local, row.vms[i].is_voter});
    }
    choice.OnListed(listed);
    const MonotonicTime start(seconds(100));
    MonotonicTime now = start;
    Condition condition = Condition::kGone;
    while (condition != Condition::kServes && now < start + seconds(20)) {
      const ControlChoice::Attempt attempt = choice.NextAttempt(now);
      condition = row.vms[attempt.endpoint.port - 7000].condition;
      now = attempt.at + FailureTime(condition, attempt.reply_timeout);
      if (condition != Condition::kServes) {
        choice.OnFailure(now, attempt.endpoint);
      }
    }
    cr_assert(now - start <= row.expected_time,
              "%s, seed %zu: expected at most %g ms, actual %g ms",
              row.scenario, static_cast<std::size_t>(seed),
              ToMilliseconds(row.expected_time), ToMilliseconds(now - start));
  }
}

ParameterizedTestParameters(ControlChoice, ServingVmIsFoundAfterAnElection) {
  return RowIndices(kElectionRows);
}

// Guards against an entry VM that leaves all control VMs during an election and
// spends the time after it on those that were replaced, while configurations
// are accepted that it does not get.
ParameterizedTest(std::size_t* index,
                  ControlChoice,
                  ServingVmIsFoundAfterAnElection) {
  const ElectionRow& row = kElectionRows[*index];
  // Configurations are in force 3 s after their acknowledgement. Half of that
  // is left for the transfer and for a stream that fails.
  constexpr Duration kMaxTime = milliseconds(1500);
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::vector<Endpoint> endpoints;
    std::vector<ListedControl> listed;
    for (std::size_t i = 0; i < row.vms.size(); ++i) {
      endpoints.push_back(EndpointOf(i));
      if (row.vms[i].is_voter) {
        listed.push_back({EndpointOf(i), row.vms[i].is_local, true});
      }
    }
    ControlChoice choice(endpoints, seed);
    choice.OnListed(listed);
    const MonotonicTime start(seconds(100));
    const MonotonicTime elected_at = start + kElectionTime;
    MonotonicTime now = start;
    while (now < start + seconds(20)) {
      const ControlChoice::Attempt attempt = choice.NextAttempt(now);
      const Condition condition =
          row.vms[attempt.endpoint.port - 7000].condition;
      now = attempt.at + FailureTime(condition, attempt.reply_timeout);
      if (condition != Condition::kServes) {
        choice.OnFailure(now, attempt.endpoint);
        continue;
      }
      if (now >= elected_at) {
        break;
      }
      choice.OnNoQuorum(now, attempt.endpoint);
      if (!choice.HasAlternative(now, attempt.endpoint)) {
        // The control VM announces the end of the election on the stream.
        now = elected_at;
        break;
      }
    }
    cr_assert(now - elected_at <= kMaxTime,
              "%s, seed %zu: expected at most %g ms, actual %g ms",
              row.scenario, static_cast<std::size_t>(seed),
              ToMilliseconds(kMaxTime), ToMilliseconds(now - elected_at));
  }
}

// Guards against an entry VM that never returns to the control VM of its own
// data centre, or that leaves its stream and then connects to another remote
// control VM, over and over.
Test(ControlChoice, LocalVmIsUsedAgainAfterItsFailure) {
  ControlChoice choice({EndpointOf(0), EndpointOf(1), EndpointOf(2)}, 1);
  choice.OnListed({{EndpointOf(0), true, true},
                   {EndpointOf(1), false, true},
                   {EndpointOf(2), false, true}});
  MonotonicTime now(seconds(100));
  choice.OnFailure(now, EndpointOf(0));
  now += milliseconds(100);
  const Endpoint remote = choice.NextAttempt(now).endpoint;
  cr_assert(remote != EndpointOf(0), "expected a remote control VM");
  choice.OnSuccess(remote);
  cr_assert_not(choice.HasLocalAlternative(now, remote));
  now += seconds(15);
  cr_assert(choice.HasLocalAlternative(now, remote));
  cr_assert(choice.NextAttempt(now).endpoint == EndpointOf(0),
            "expected the local control VM");
}

ParameterizedTestParameters(ControlChoice, TriesListedVmsAndSettings) {
  return RowIndices(kForgetRows);
}

// Guards against time that is spent on the addresses of control VMs that have
// left the group, and against a VM that forgets all addresses at which the
// group could be reached.
ParameterizedTest(std::size_t* index,
                  ControlChoice,
                  TriesListedVmsAndSettings) {
  const ForgetRow& row = kForgetRows[*index];
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<Endpoint> endpoints;
    for (const int vm : row.in_settings) {
      endpoints.push_back(EndpointOf(static_cast<std::size_t>(vm)));
    }
    ControlChoice choice(endpoints, seed);
    for (const std::vector<int>& vms : row.listed) {
      std::vector<ListedControl> listed;
      for (const int vm : vms) {
        listed.push_back({EndpointOf(static_cast<std::size_t>(vm))});
      }
      choice.OnListed(listed);
    }
    std::vector<ListedControl> suggested;
    for (const int vm : row.suggested) {
      suggested.push_back({EndpointOf(static_cast<std::size_t>(vm))});
    }
    choice.OnSuggested(suggested);
    std::vector<Endpoint> new_settings;
    for (const int vm : row.new_settings) {
      new_settings.push_back(EndpointOf(static_cast<std::size_t>(vm)));
    }
    choice.OnSettings(new_settings);
    std::set<int> tried;
    MonotonicTime now(seconds(100));
    for (int attempts = 0; attempts < 20; ++attempts) {
      const ControlChoice::Attempt attempt = choice.NextAttempt(now);
      tried.insert(attempt.endpoint.port - 7000);
      now = attempt.at;
      choice.OnFailure(now, attempt.endpoint);
    }
    const std::set<int> expected(row.expected_tried.begin(),
                                 row.expected_tried.end());
    cr_assert(tried == expected, "%s: expected %s, actual %s", row.scenario,
              fmt::format("{}", fmt::join(expected, " ")).c_str(),
              fmt::format("{}", fmt::join(tried, " ")).c_str());
  }
}

}  // namespace marigold
