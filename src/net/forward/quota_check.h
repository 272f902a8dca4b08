#ifndef SRC_NET_FORWARD_QUOTA_CHECK_H_
#define SRC_NET_FORWARD_QUOTA_CHECK_H_

#include <functional>
#include <optional>

#include "src/net/forward/message_codec.h"
#include "src/policy/forward_types.h"
#include "src/tables/quota_table.h"

namespace marigold {

// Counts a request against the quota of its customer. Returns the answer that
// refuses it, or nothing if it is admitted. If the request is refused later for
// another reason, the function that `QuotaRefund` returns must be called.
std::optional<LocalAnswer> CheckQuota(QuotaTable& quotas,
                                      const ForwardPlan& plan,
                                      MonotonicTime now);

// Returns the function that takes the admission back if the request was sent
// nowhere.
std::function<void()> QuotaRefund(QuotaTable& quotas, const ForwardPlan& plan);

}  // namespace marigold

#endif  // SRC_NET_FORWARD_QUOTA_CHECK_H_
