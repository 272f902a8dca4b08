#include "src/programs/forward_components.h"

#include <algorithm>
#include <cstdint>

#include "src/core/clock.h"
#include "src/core/random.h"
#include "src/policy/forward_admission.h"

namespace marigold {

namespace {

// Callers and backend servers decide how much requests, answers and replies
// take. Each of the two may use one of these parts of the memory.
constexpr std::int64_t kMemoryParts = 4;

// Files, listeners, connections to control VMs and to other entry VMs.
constexpr std::int64_t kOtherDescriptors = 300;

std::int64_t MemoryPart(const ForwardSettings& settings) {
  constexpr std::int64_t kMiB = 1024 * 1024;
  return settings.memory_mib * kMiB / kMemoryParts;
}

// The connections of callers, and those to backend servers, may have one half
// each.
std::int64_t HalfOfDescriptors(const ForwardSettings& settings) {
  return (settings.max_open_files - kOtherDescriptors) / 2;
}

}  // namespace

DirectorySettings ToDirectorySettings(const ForwardSettings& settings) {
  DirectorySettings directory;
  directory.data_centre = DataCentreId(settings.data_centre);
  directory.retry_budget.ratio = Fraction(settings.retry_ratio);
  directory.retry_budget.fleet_minimum_sends = settings.retry_minimum;
  directory.retry_budget.window = FromSeconds(settings.retry_window_s);
  directory.retry_budget.started_at = SystemClock().Now();
  directory.seed = SystemSeed();
  directory.vm = VmId(settings.vm);
  return directory;
}

FanOutSettings ToFanOutSettings(const ForwardSettings& settings) {
  FanOutSettings fan_out;
  fan_out.processor_share = Fraction(settings.cpu_share);
  if (settings.fan_out == "direct") {
    fan_out.mode = FanOutMode::kDirect;
  } else if (settings.fan_out == "groups") {
    fan_out.mode = FanOutMode::kGroups;
  }
  return fan_out;
}

ControlClientSettings ToControlSettings(const ForwardSettings& settings) {
  ControlClientSettings client;
  client.vm = VmId(settings.vm);
  client.data_centre = DataCentreId(settings.data_centre);
  client.controls = settings.controls;
  client.aggregator = settings.aggregator;
  client.listen = settings.lists;
  return client;
}

AdmissionSettings ToForwardAdmissionSettings(const ForwardSettings& settings) {
  AdmissionSettings admission = ForwardAdmissionSettings();
  admission.max_capacity = static_cast<std::uint32_t>(settings.max_requests);
  admission.max_wait = FromSeconds(settings.admission_wait_ms / 1'000);
  return admission;
}

StrandLimits ToStrandLimits(const ForwardSettings& settings) {
  const std::int64_t memory_part = MemoryPart(settings);
  const auto share_of_strand = [&](std::int64_t total) {
    return static_cast<std::size_t>(total / settings.workers);
  };
  StrandLimits limits;
  limits.replies.max_reply_bytes =
      static_cast<std::size_t>(settings.max_reply_bytes);
  limits.replies.max_total_bytes =
      share_of_strand(std::min(settings.reply_memory_bytes, memory_part));
  limits.caller_memory_bytes = share_of_strand(memory_part);
  limits.max_links = share_of_strand(HalfOfDescriptors(settings));
  return limits;
}

std::size_t MaxCallerConnections(const ForwardSettings& settings) {
  return static_cast<std::size_t>(
      std::min(settings.max_connections, HalfOfDescriptors(settings)));
}

}  // namespace marigold
