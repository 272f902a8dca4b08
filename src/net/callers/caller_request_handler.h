#ifndef SRC_NET_CALLERS_CALLER_REQUEST_HANDLER_H_
#define SRC_NET_CALLERS_CALLER_REQUEST_HANDLER_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "src/net/callers/entry_components.h"
#include "src/net/http/http_server.h"
#include "src/policy/action_types.h"
#include "src/policy/search_types.h"

namespace marigold {

// Decodes callers' searches and actions, passes them through admission control,
// runs them and sends the answers. Messages are encoded and decoded only here;
// the code that runs requests works on typed requests.
class CallerRequestHandler {
 public:
  explicit CallerRequestHandler(const EntryComponents& entry_components);

  void HandleSearch(const HttpRequest& http, HttpResponder respond);
  void HandleAction(const HttpRequest& http, HttpResponder respond);

  // Answers all requests that have no answer yet as possibly run, because the
  // process stops before their deadlines. Their outcomes are then dropped.
  void AnswerOpenRequests();

 private:
  // The state of one request from its arrival to its answer.
  struct Exchange {
    Exchange() = default;
    // Answers a request that was destroyed without an answer, so that every
    // caller gets one.
    ~Exchange();

    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    // Returns true for the first call. Only its caller may answer.
    bool TakeAnswer() { return !this->is_answered.exchange(true); }

    RequestKind kind = RequestKind::kSearch;
    std::atomic<bool> is_answered = false;
    MonotonicTime arrived_at;
    HttpResponder respond;
    Lifecycle::WorkGuard work_guard;
    RequestId request;
    CustomerId customer;
    ServiceId service;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  static constexpr std::size_t kMinCleanupSize = 64;

  ExchangePtr StartExchange(RequestKind kind, HttpResponder respond);
  void AddOpenExchange(const ExchangePtr& exchange);
  template <class Request>
  void CopyIdentifiers(Exchange& exchange, const Request& request);
  // Refuses a request that did not decode, and every request while the process
  // stops. Returns true if the caller was answered.
  bool RefuseBeforeAdmission(const ExchangePtr& exchange,
                             const AnyError* error);
  // Calls `run` with the time left until the deadline once admission control
  // admits the request. Otherwise answers the caller with the refusal.
  void Admit(
      const ExchangePtr& exchange,
      Duration deadline,
      std::function<void(const AdmissionPermit&, Duration remaining)> run);
  void RunSearch(const ExchangePtr& exchange,
                 const AdmissionPermit& permit,
                 SearchRequest request);
  void RunAction(const ExchangePtr& exchange,
                 const AdmissionPermit& permit,
                 ActionRequest request);

  void Answer(const ExchangePtr& exchange, const Refusal& refusal);
  void Answer(const ExchangePtr& exchange, const SearchAnswer& answer);
  void Answer(const ExchangePtr& exchange, const ActionAnswer& answer);
  void Respond(const ExchangePtr& exchange, HttpResponse response);
  void AddNote(const Exchange& exchange,
               std::string_view verdict,
               std::string_view reason,
               std::string_view detail);
  void LogRequest(const Exchange& exchange,
                  std::string_view verdict,
                  std::string_view reason,
                  Fraction coverage);
  Duration TimeSince(MonotonicTime start) const;

  EntryComponents components;
  std::uint64_t seed;
  RankedMutex<LockRank::kOpenRequests> mutex;
  // The exchanges in progress, and some that have ended since the last
  // clean-up.
  std::vector<std::weak_ptr<Exchange>> open_exchanges;
  std::size_t next_cleanup_size = kMinCleanupSize;
  std::atomic<std::uint64_t> run_count = 0;
  // Requests that were candidates for the access log.
  std::atomic<std::uint64_t> loggable_requests = 0;
};

}  // namespace marigold

#endif  // SRC_NET_CALLERS_CALLER_REQUEST_HANDLER_H_
