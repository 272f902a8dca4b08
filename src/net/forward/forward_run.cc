#include "src/net/forward/forward_run.h"

#include "src/net/forward/call_end.h"

namespace marigold {

bool PromisesNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 ||
         status == static_cast<unsigned>(kStatusUnavailable);
}

}  // namespace marigold
