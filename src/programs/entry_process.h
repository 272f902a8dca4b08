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

// The components of an entry process. Starts and stops them in the required
// order.
class EntryProcess {
 public:
  explicit EntryProcess(const EntrySettings& entry_settings);

  // Serves until a signal stops the process. Returns the exit code.
  int Run();

 private:
  // Returns false and logs the error if the address for callers can't be used.
  bool Listen();
  // Returns false and logs the error if the address for the other entry VMs
  // can't be used.
  bool StartControlClient();
  // Returns the limits of a customer for a service, or the reason for which its
  // requests are refused.
  std::variant<AdmissionLimits, Refusal> LimitsOf(const CustomerId& customer,
                                                  const ServiceId& service);
  // True if requests can be checked against the lists, or need not be.
  bool lists_known() const;

  void OnSignal(int number);
  // Refuses new requests, and ends the process once those in flight are
  // answered.
  void BeginDrain();
  // Ends the process once the outcomes of all actions are recorded.
  void FinishWhenIdle();
  // Ends the process although actions may be unfinished, and logs their number.
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
  // Null if the settings name no control VMs.
  std::unique_ptr<ControlClient> control;
  LedgerClient ledger;
  std::shared_ptr<EntryGate> gate;
  CallerApi api;
  std::unique_ptr<HttpServer> server;
  std::atomic<int> signal_count = 0;
};

}  // namespace marigold

#endif  // SRC_PROGRAMS_ENTRY_PROCESS_H_
