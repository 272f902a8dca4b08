#ifndef SRC_COMMANDS_LEDGER_CLIENT_H_
#define SRC_COMMANDS_LEDGER_CLIENT_H_

#include <functional>
#include <utility>
#include <variant>

#include "src/commands/control_commands.h"
#include "src/core/units.h"

namespace marigold {

// Implements `ClaimLedger` with a function, so that the code that runs actions
// does not depend on the connection to the control group.
struct LedgerClient {
  using OnOutcome = std::function<void(std::variant<ControlOutcome, Refusal>)>;

  void Submit(const ControlCommand& command,
              Duration timeout,
              OnOutcome on_outcome) {
    this->submit(command, timeout, std::move(on_outcome));
  }

  std::function<void(const ControlCommand&, Duration, OnOutcome)> submit;
};

// Returns a client for a process without control VMs. It refuses every command
// with `kNoQuorum`.
inline LedgerClient RefusingLedgerClient() {
  return {[](const ControlCommand&, Duration,
             const LedgerClient::OnOutcome& on_outcome) {
    on_outcome(Refusal{
        Execution::kDidNotRun, Reason::kNoQuorum, "no control VM is set", {}});
  }};
}

}  // namespace marigold

#endif  // SRC_COMMANDS_LEDGER_CLIENT_H_
