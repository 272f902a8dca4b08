#include "tools/standin/load_history.h"

#include <algorithm>
#include <array>

namespace marigold {

namespace {

constexpr std::array<std::string_view, 4> kModeNames = {"true", "zero", "high",
                                                        "inverse"};

}  // namespace

std::vector<std::string> ReportModeNames() {
  return {kModeNames.begin(), kModeNames.end()};
}

std::optional<ReportMode> ParseReportMode(std::string_view name) {
  const auto* found = std::find(kModeNames.begin(), kModeNames.end(), name);
  if (found == kModeNames.end()) {
    return std::nullopt;
  }
  return static_cast<ReportMode>(found - kModeNames.begin());
}

void LoadHistory::Record(MonotonicTime now,
                         std::uint32_t load,
                         Duration retention) {
  this->samples.push_back({now, load});
  while (this->samples.size() > 1 && this->samples[1].at <= now - retention) {
    this->samples.pop_front();
  }
}

std::uint32_t LoadHistory::Report(MonotonicTime now,
                                  const LoadReportSettings& settings) const {
  const std::uint32_t load = this->LoadAt(now - settings.lag);
  switch (settings.mode) {
    case ReportMode::kTrue:
      return load;
    case ReportMode::kZero:
      return 0;
    case ReportMode::kHigh:
      return this->full_load;
    case ReportMode::kInverse:
      return this->full_load - std::min(load, this->full_load);
  }
  return load;
}

std::uint32_t LoadHistory::LoadAt(MonotonicTime at) const {
  for (auto sample = this->samples.rbegin(); sample != this->samples.rend();
       ++sample) {
    if (sample->at <= at) {
      return sample->load;
    }
  }
  return 0;
}

}  // namespace marigold
