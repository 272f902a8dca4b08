// Prints what quotas cost: bytes of messages, time of the decisions and memory.
// Run by hand; docs/CAPACITY.md quotes its output.

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "src/policy/quota/quota_coordinator.h"
#include "src/policy/quota/quota_gate.h"
#include "src/wire/control_messages.h"
#include "src/wire/frame.h"

namespace marigold {

namespace {

struct Deployment {
  std::size_t vms;
  std::size_t customers;
  // Requests per second of all customers together.
  double rate;
};

constexpr Deployment kDeployments[] = {{126, 82, 120}, {1'400, 1'000, 180'000}};
constexpr double kZipfExponent = 1.2;
constexpr MonotonicTime kStart{std::chrono::seconds(1'000)};

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

template <class Body>
double NanosecondsPerCall(std::size_t calls, Body&& body) {
  const auto began_at = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < calls; ++i) {
    body(i);
  }
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - began_at;
  return elapsed.count() / static_cast<double>(calls);
}

// Customers whose sizes follow a Zipf distribution, with quotas of 1.6 times
// their usual rates.
std::vector<RoutedCustomer> MakeCustomers(const Deployment& deployment) {
  double weights = 0;
  for (std::size_t i = 1; i <= deployment.customers; ++i) {
    weights += std::pow(i, -kZipfExponent);
  }
  std::vector<RoutedCustomer> customers(deployment.customers);
  for (std::size_t i = 0; i < customers.size(); ++i) {
    const double rate =
        deployment.rate * std::pow(i + 1, -kZipfExponent) / weights;
    customers[i].customer = CustomerId(fmt::format("customer-{:03}", i));
    customers[i].quota = {RatePerSecond(1.6 * rate), 1.6 * rate};
  }
  return customers;
}

// Chooses customers as often as their rates require.
class CustomerChoice {
 public:
  explicit CustomerChoice(const std::vector<RoutedCustomer>& customers)
      : random(1) {
    double sum = 0;
    for (const RoutedCustomer& customer : customers) {
      sum += customer.quota.rate.value();
      this->sums.push_back(sum);
    }
  }

  std::size_t Next() {
    const double point = this->random.NextDouble() * this->sums.back();
    return static_cast<std::size_t>(
        std::lower_bound(this->sums.begin(), this->sums.end(), point) -
        this->sums.begin());
  }

 private:
  SeededRandom random;
  std::vector<double> sums;
};

std::size_t FrameBytes(const ControlMessage& message) {
  return kFrameHeaderBytes + EncodeControlMessage(message).size();
}

void PrintMessages() {
  for (const std::size_t count : {0U, 1U, 2U, 8U, 32U}) {
    QuotaUsageReport report{VmId("entry-0123"), {}, {}, {}};
    QuotaState state;
    for (std::size_t i = 0; i < count; ++i) {
      report.usages.push_back({CustomerId("customer-000"), 0, 0, 0, 0, 0, 0});
      state.ratios.push_back({CustomerId("customer-000"), Fraction(0.5)});
    }
    fmt::print("customers={} report_bytes={} state_bytes={}\n", count,
               FrameBytes(report), FrameBytes(state));
  }
}

// Ten seconds of one entry VM.
void PrintGate(const Deployment& deployment) {
  const auto customers = MakeCustomers(deployment);
  CustomerChoice choice(customers);
  const double heap_before = HeapBytes();
  QuotaGate gate(VmId("entry-0123"), EntryProcessId(1), 1);
  gate.SetCustomers(kStart, customers);
  const double heap_bytes = HeapBytes() - heap_before;
  const double vm_rate = deployment.rate / static_cast<double>(deployment.vms);
  std::size_t reports = 0;
  std::size_t report_bytes = 0;
  double due = 0;
  constexpr int kSeconds = 10;
  for (int i = 0; i < kSeconds * 1'000; ++i) {
    const MonotonicTime now = kStart + std::chrono::milliseconds(i);
    if (i % 100 == 0) {
      gate.Apply(now, {Term(1), QuotaStateNumber(i + 1), {}, {}});
    }
    for (due += vm_rate / 1'000; due >= 1; due -= 1) {
      gate.Admit(now, customers[choice.Next()].customer);
    }
    if (const auto report = gate.TakeReport(now)) {
      ++reports;
      report_bytes += FrameBytes(*report);
    }
  }
  const double admit_ns = NanosecondsPerCall(1'000'000, [&](std::size_t i) {
    gate.Admit(kStart + std::chrono::microseconds(10'000'000 + i),
               customers[i % customers.size()].customer);
  });
  const double apply_ns = NanosecondsPerCall(10'000, [&](std::size_t i) {
    gate.Apply(kStart, {Term(2), QuotaStateNumber(i + 1), {}, {}});
  });
  fmt::print(
      "vms={} customers={} gate: reports_per_s={:.1f} "
      "report_bytes_per_s={:.0f} "
      "admit_ns={:.0f} apply_ns={:.0f} heap_bytes={:.0f}\n",
      deployment.vms, deployment.customers,
      static_cast<double>(reports) / kSeconds,
      static_cast<double>(report_bytes) / kSeconds, admit_ns, apply_ns,
      heap_bytes);
}

// The reports of all entry VMs, each about two customers.
void PrintCoordinator(const Deployment& deployment) {
  const auto customers = MakeCustomers(deployment);
  CustomerChoice choice(customers);
  const double heap_before = HeapBytes();
  QuotaCoordinator coordinator(kStart, Term(1));
  coordinator.SetCustomers(kStart, customers);
  std::vector<QuotaUsageReport> reports;
  for (std::size_t i = 0; i < deployment.vms; ++i) {
    reports.push_back({VmId(fmt::format("entry-{:04}", i)),
                       EntryProcessId(i + 1),
                       {},
                       std::vector<QuotaUsage>(2)});
  }
  const std::size_t calls = 100 * deployment.vms;
  double prepare_ns = 0;
  const double report_ns = NanosecondsPerCall(calls, [&](std::size_t i) {
    QuotaUsageReport& report = reports[i % reports.size()];
    prepare_ns += NanosecondsPerCall(1, [&](std::size_t) {
      report.number = Next(report.number);
      for (QuotaUsage& usage : report.usages) {
        usage.customer = customers[choice.Next()].customer;
        usage.new_offered = usage.new_admitted = 1;
        ++usage.offered;
        ++usage.admitted;
      }
    });
    coordinator.OnReport(kStart + std::chrono::milliseconds(i * 100 / calls),
                         report);
  });
  const double round_ns = NanosecondsPerCall(1'000, [&](std::size_t i) {
    coordinator.Round(kStart + std::chrono::milliseconds(i));
  });
  fmt::print(
      "vms={} customers={} coordinator: report_of_two_ns={:.0f} "
      "round_us={:.1f} "
      "heap_bytes={:.0f}\n",
      deployment.vms, deployment.customers,
      report_ns - prepare_ns / static_cast<double>(calls), round_ns / 1'000,
      HeapBytes() - heap_before);
}

}  // namespace

}  // namespace marigold

int main() {
  marigold::PrintMessages();
  for (const marigold::Deployment& deployment : marigold::kDeployments) {
    marigold::PrintGate(deployment);
    marigold::PrintCoordinator(deployment);
  }
  return 0;
}
