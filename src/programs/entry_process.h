#ifndef SRC_PROGRAMS_ENTRY_PROCESS_H_
#define SRC_PROGRAMS_ENTRY_PROCESS_H_

#include <atomic>
#include <memory>

#include "src/net/callers/caller_api.h"
#include "src/net/control/control_client.h"
#include "src/net/http/http_server.h"
#include "src/net/listing/fleet_monitor.h"
#include "src/programs/entry_settings.h"

namespace marigold {

// The parts of one entry process and their order of start and end.
class EntryProcess {
 public:
  explicit EntryProcess(const EntrySettings& entry_settings);

  // Serves until a signal ends the process; gives the exit code.
  int Run();

 private:
  bool Listen();
  // False if the address for the other entry VMs can't be used.
  bool StartControlClient();
  std::variant<AdmissionLimits, Refusal> LimitsOf(const CustomerId& customer,
                                                  const ServiceId& service);
  bool lists_known() const;

  void OnSignal(int number);
  void BeginDrain();
  // Ends the process once nothing is left that it has to finish.
  void FinishWhenIdle();
  void FinishAtStopTimeout();

  EntrySettings settings;
  SystemClock clock;
  WorkerPool pool;
  EntryMetrics metrics;
  RequestNoteTable notes;
  ListTable lists;
  ListingTable listing;
  Lifecycle lifecycle;
  ServerTable servers;
  BackendClient client;
  FleetMonitor monitor;
  // Null without control VMs.
  std::unique_ptr<ControlClient> control;
  LedgerClient ledger;
  std::shared_ptr<EntryGate> gate;
  CallerApi api;
  std::unique_ptr<HttpServer> server;
  std::atomic<int> signal_count = 0;
};

}  // namespace marigold

#endif  // SRC_PROGRAMS_ENTRY_PROCESS_H_
