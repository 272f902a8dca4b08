#ifndef SRC_NET_CALLERS_CALLER_REQUESTS_H_
#define SRC_NET_CALLERS_CALLER_REQUESTS_H_

#include <atomic>
#include <memory>

#include "src/net/callers/entry_parts.h"
#include "src/net/http/http_server.h"
#include "src/policy/action_types.h"
#include "src/policy/search_types.h"

namespace marigold {

// Decodes callers' searches and actions, lets them through admission, runs them
// and answers. Encoding happens only here; the handlers work on typed requests.
class CallerRequests {
 public:
  explicit CallerRequests(const EntryParts& entry_parts);

  void HandleSearch(const HttpRequest& http, HttpResponder respond);
  void HandleAction(const HttpRequest& http, HttpResponder respond);

 private:
  // One request from its arrival to its answer.
  struct Exchange {
    Exchange() = default;
    // Answers a request that was dropped; no request stays without an answer.
    ~Exchange();

    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    RequestKind kind = RequestKind::kSearch;
    MonotonicTime arrived;
    HttpResponder respond;
    Lifecycle::WorkGuard hold;
    RequestId request;
    CustomerId customer;
    ServiceId service;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  ExchangePtr Begin(RequestKind kind, HttpResponder respond);
  template <class Request>
  void Identify(Exchange& exchange, const Request& request);
  // Nothing if the request can go on; the caller was answered otherwise.
  bool IsRefusedBefore(const ExchangePtr& exchange, const AnyError* error);
  // Lets `run` run when admission permits it, with what is left until the
  // deadline.
  void Admit(const ExchangePtr& exchange,
             Duration deadline,
             std::function<void(const AdmissionPermit&, Duration left)> run);
  void RunSearch(const ExchangePtr& exchange,
                 const AdmissionPermit& pass,
                 SearchRequest request);
  void RunAction(const ExchangePtr& exchange,
                 const AdmissionPermit& pass,
                 ActionRequest request);

  void Answer(const ExchangePtr& exchange, const Refusal& refusal);
  void Answer(const ExchangePtr& exchange, const SearchAnswer& answer);
  void Answer(const ExchangePtr& exchange, const ActionAnswer& answer);
  void Respond(const ExchangePtr& exchange, HttpResponse response);
  void Note(const Exchange& exchange,
            std::string_view verdict,
            std::string_view reason,
            std::string_view detail);
  void Log(const Exchange& exchange,
           std::string_view verdict,
           std::string_view reason,
           Fraction coverage);
  Duration TimeSince(MonotonicTime start) const;

  EntryParts parts;
  std::uint64_t seed;
  std::atomic<std::uint64_t> runs = 0;
  std::atomic<std::uint64_t> logged = 0;
};

}  // namespace marigold

#endif  // SRC_NET_CALLERS_CALLER_REQUESTS_H_
