#include "src/net/callers/caller_requests.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/core/log.h"
#include "src/core/random.h"
#include "src/queries/run_search.h"
#include "src/wire/caller_json.h"

namespace marigold {

namespace {

Refusal ToRefusal(const AnyError& error) {
  if (const auto* refusal = std::get_if<Refusal>(&error)) {
    return *refusal;
  }
  if (const auto* parse = std::get_if<ParseError>(&error)) {
    return {Execution::kDidNotRun, Reason::kBadRequest, ToString(*parse), {}};
  }
  return {Execution::kDidNotRun, Reason::kInternal, "", {}};
}

}  // namespace

CallerRequests::Exchange::~Exchange() {
  if (this->respond == nullptr) {
    return;
  }
  LogEvent(LogLevel::kError, "request_dropped",
           {{"request", this->request.value()},
            {"customer", this->customer.value()}});
  const Refusal refusal{Execution::kMayHaveRun, Reason::kInternal, "", {}};
  HttpResponse response;
  response.status = HttpStatusOf(refusal);
  response.body = EncodeRefusal(this->request, refusal);
  this->respond(std::move(response));
}

CallerRequests::CallerRequests(const EntryParts& entry_parts)
    : parts(entry_parts), seed(SystemSeed()) {}

void CallerRequests::HandleSearch(const HttpRequest& http,
                                  HttpResponder respond) {
  const ExchangePtr exchange =
      this->Begin(RequestKind::kSearch, std::move(respond));
  auto decoded =
      Capture<SearchRequest>([&] { return DecodeSearchRequest(http.body); });
  if (this->IsRefusedBefore(exchange, std::get_if<AnyError>(&decoded))) {
    return;
  }
  auto& request = std::get<SearchRequest>(decoded);
  this->Identify(*exchange, request);
  this->Admit(
      exchange, request.deadline,
      [this, exchange, request](const AdmissionPermit& pass, Duration left) {
        SearchRequest admitted = request;
        admitted.deadline = left;
        this->RunSearch(exchange, pass, std::move(admitted));
      });
}

void CallerRequests::HandleAction(const HttpRequest& http,
                                  HttpResponder respond) {
  const ExchangePtr exchange =
      this->Begin(RequestKind::kAction, std::move(respond));
  auto decoded =
      Capture<ActionRequest>([&] { return DecodeActionRequest(http.body); });
  if (this->IsRefusedBefore(exchange, std::get_if<AnyError>(&decoded))) {
    return;
  }
  auto& request = std::get<ActionRequest>(decoded);
  this->Identify(*exchange, request);
  if (request.key_issued_at >
      this->parts.clock.WallNow() + this->parts.settings.issue_skew) {
    this->Answer(exchange, Refusal{Execution::kDidNotRun,
                                   Reason::kBadRequest,
                                   "key_issued_at_ms lies in the future",
                                   {}});
    return;
  }
  this->Admit(
      exchange, request.deadline,
      [this, exchange, request](const AdmissionPermit& pass, Duration left) {
        ActionRequest admitted = request;
        admitted.deadline = left;
        this->RunAction(exchange, pass, std::move(admitted));
      });
}

CallerRequests::ExchangePtr CallerRequests::Begin(RequestKind kind,
                                                  HttpResponder respond) {
  auto exchange = std::make_shared<Exchange>();
  exchange->kind = kind;
  exchange->arrived = this->parts.clock.Now();
  exchange->respond = std::move(respond);
  exchange->hold = this->parts.lifecycle.TrackRequest();
  return exchange;
}

template <class Request>
void CallerRequests::Identify(Exchange& exchange, const Request& request) {
  exchange.request = request.request;
  exchange.customer = request.customer;
  exchange.service = request.service;
}

bool CallerRequests::IsRefusedBefore(const ExchangePtr& exchange,
                                     const AnyError* error) {
  if (error != nullptr) {
    this->Answer(exchange, ToRefusal(*error));
    return true;
  }
  if (this->parts.lifecycle.phase() == ProcessPhase::kStopping) {
    this->Answer(exchange,
                 Refusal{Execution::kDidNotRun, Reason::kStopping, "", {}});
    return true;
  }
  return false;
}

void CallerRequests::Admit(
    const ExchangePtr& exchange,
    Duration deadline,
    std::function<void(const AdmissionPermit&, Duration left)> run) {
  const MonotonicTime end_by = std::min(exchange->arrived + deadline,
                                        this->parts.lifecycle.drain_deadline());
  this->parts.gate.Enter(
      {exchange->customer, exchange->service, end_by},
      [this, exchange, end_by, run = std::move(run)](GateDecision decision) {
        if (const auto* refusal = std::get_if<Refusal>(&decision)) {
          this->Answer(exchange, *refusal);
          return;
        }
        const Duration left = end_by - this->parts.clock.Now();
        run(std::get<AdmissionPermit>(decision),
            std::max(left, std::chrono::microseconds(1)));
      });
}

void CallerRequests::RunSearch(const ExchangePtr& exchange,
                               const AdmissionPermit& pass,
                               SearchRequest request) {
  DefaultPolicy policy;
  if (this->parts.settings.tail_services.contains(request.service)) {
    policy.preference = Preference::kTail;
  }
  std::make_shared<RunningSearch<BackendClient, SystemClock>>(
      std::move(request), this->parts.servers, this->parts.client,
      this->parts.clock, policy, this->seed + this->runs++,
      [this, exchange, pass](const SearchOutcome& outcome) {
        std::visit([&](const auto& result) { this->Answer(exchange, result); },
                   outcome);
        this->parts.gate.Leave(pass);
      })
      ->Start();
}

void CallerRequests::RunAction(const ExchangePtr& exchange,
                               const AdmissionPermit& pass,
                               ActionRequest request) {
  using Running = RunningAction<LedgerClient, BackendClient, SystemClock>;
  std::make_shared<Running>(
      std::move(request), this->parts.settings.actions, this->parts.servers,
      this->parts.ledger, this->parts.client, this->parts.clock,
      this->seed + this->runs++,
      [this, exchange, pass, hold = this->parts.lifecycle.TrackAction()](
          const ActionOutcome& outcome) {
        std::visit([&](const auto& result) { this->Answer(exchange, result); },
                   outcome);
        this->parts.gate.Leave(pass);
      })
      ->Start();
}

void CallerRequests::Answer(const ExchangePtr& exchange,
                            const Refusal& refusal) {
  this->parts.metrics.OnRefusal(exchange->kind, refusal,
                                this->TimeSince(exchange->arrived));
  this->Log(*exchange, ToString(refusal.execution), ToString(refusal.reason),
            Fraction());
  this->Note(*exchange, ToString(refusal.execution), ToString(refusal.reason),
             refusal.detail);
  HttpResponse response;
  response.status = HttpStatusOf(refusal);
  response.body = EncodeRefusal(exchange->request, refusal);
  this->Respond(exchange, std::move(response));
}

void CallerRequests::Answer(const ExchangePtr& exchange,
                            const SearchAnswer& answer) {
  const Fraction coverage = Coverage(answer);
  this->parts.metrics.OnAnswer(exchange->kind,
                               this->TimeSince(exchange->arrived));
  this->parts.metrics.OnCoverage(coverage);
  this->Log(*exchange, ToString(Execution::kRan), "ok", coverage);
  if (!answer.missing.empty()) {
    this->Note(*exchange, ToString(Execution::kRan),
               ToString(answer.missing.front().reason), "shards are missing");
  }
  HttpResponse response;
  response.body = EncodeSearchAnswer(exchange->request, answer);
  this->Respond(exchange, std::move(response));
}

void CallerRequests::Answer(const ExchangePtr& exchange,
                            const ActionAnswer& answer) {
  this->parts.metrics.OnAnswer(exchange->kind,
                               this->TimeSince(exchange->arrived));
  this->Log(*exchange, ToString(Execution::kRan), "ok", Fraction(1));
  HttpResponse response;
  response.body = EncodeActionAnswer(exchange->request, answer);
  this->Respond(exchange, std::move(response));
}

void CallerRequests::Respond(const ExchangePtr& exchange,
                             HttpResponse response) {
  exchange->respond(std::move(response));
  // An action may go on after its caller was answered.
  exchange->respond = nullptr;
  exchange->hold = nullptr;
}

void CallerRequests::Note(const Exchange& exchange,
                          std::string_view verdict,
                          std::string_view reason,
                          std::string_view detail) {
  RequestNote note;
  note.request = exchange.request.value();
  note.customer = exchange.customer.value();
  note.service = exchange.service.value();
  note.verdict = verdict;
  note.reason = reason;
  note.detail = detail;
  this->parts.notes.Add(this->parts.clock.Now(), std::move(note));
}

void CallerRequests::Log(const Exchange& exchange,
                         std::string_view verdict,
                         std::string_view reason,
                         Fraction coverage) {
  const std::uint64_t every = this->parts.settings.access_log_every;
  const bool is_always = verdict == ToString(Execution::kMayHaveRun);
  if (!is_always && (every == 0 || this->logged++ % every != 0)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "request",
           {{"kind", ToString(exchange.kind)},
            {"request", exchange.request.value()},
            {"customer", exchange.customer.value()},
            {"service", exchange.service.value()},
            {"verdict", verdict},
            {"reason", reason},
            {"coverage", coverage.value()},
            {"ms", ToMilliseconds(this->TimeSince(exchange.arrived))}});
}

Duration CallerRequests::TimeSince(MonotonicTime start) const {
  return this->parts.clock.Now() - start;
}

}  // namespace marigold
