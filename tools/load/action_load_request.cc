#include "tools/load/action_load_request.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace marigold {

ActionLoadRequest MakeResend(const ActionLoadRequest& action) {
  ActionLoadRequest resend = action;
  ++resend.send_count;
  resend.request.id = RequestId(
      fmt::format("{}-send-{}", action.key.value(), resend.send_count));
  return resend;
}

std::string EncodeActionLoadRequest(const ActionLoadRequest& action) {
  return boost::json::serialize(boost::json::object{
      {"request_id", action.request.id.value()},
      {"customer", action.request.customer.value()},
      {"service", action.request.service.value()},
      {"shard", 0},
      {"action", "pay"},
      {"idempotency_key", action.key.value()},
      {"key_issued_at_ms", action.issued_at.time_since_epoch().count() / 1000},
      {"payload", action.request.query},
      {"deadline_ms", action.request.deadline.count() / 1000},
  });
}

}  // namespace marigold
