#include "src/net/callers/caller_request_handler.h"

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

CallerRequestHandler::Exchange::~Exchange() {
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

CallerRequestHandler::CallerRequestHandler(
    const EntryComponents& entry_components)
    : components(entry_components), seed(SystemSeed()) {}

void CallerRequestHandler::HandleSearch(const HttpRequest& http,
                                        HttpResponder respond) {
  const ExchangePtr exchange =
      this->StartExchange(RequestKind::kSearch, std::move(respond));
  auto decoded =
      Capture<SearchRequest>([&] { return DecodeSearchRequest(http.body); });
  if (this->RefuseBeforeAdmission(exchange, std::get_if<AnyError>(&decoded))) {
    return;
  }
  auto& request = std::get<SearchRequest>(decoded);
  this->CopyIdentifiers(*exchange, request);
  this->Admit(exchange, request.deadline,
              [this, exchange, request](const AdmissionPermit& permit,
                                        Duration remaining) {
                SearchRequest admitted = request;
                admitted.deadline = remaining;
                this->RunSearch(exchange, permit, std::move(admitted));
              });
}

void CallerRequestHandler::HandleAction(const HttpRequest& http,
                                        HttpResponder respond) {
  const ExchangePtr exchange =
      this->StartExchange(RequestKind::kAction, std::move(respond));
  auto decoded =
      Capture<ActionRequest>([&] { return DecodeActionRequest(http.body); });
  if (this->RefuseBeforeAdmission(exchange, std::get_if<AnyError>(&decoded))) {
    return;
  }
  auto& request = std::get<ActionRequest>(decoded);
  this->CopyIdentifiers(*exchange, request);
  if (request.key_issued_at >
      this->components.clock.WallNow() +
          this->components.settings.max_key_issue_skew) {
    this->Answer(exchange, Refusal{Execution::kDidNotRun,
                                   Reason::kBadRequest,
                                   "key_issued_at_ms lies in the future",
                                   {}});
    return;
  }
  this->Admit(exchange, request.deadline,
              [this, exchange, request](const AdmissionPermit& permit,
                                        Duration remaining) {
                ActionRequest admitted = request;
                admitted.deadline = remaining;
                this->RunAction(exchange, permit, std::move(admitted));
              });
}

CallerRequestHandler::ExchangePtr CallerRequestHandler::StartExchange(
    RequestKind kind,
    HttpResponder respond) {
  auto exchange = std::make_shared<Exchange>();
  exchange->kind = kind;
  exchange->arrived_at = this->components.clock.Now();
  exchange->respond = std::move(respond);
  exchange->work_guard = this->components.lifecycle.TrackRequest();
  this->AddOpenExchange(exchange);
  return exchange;
}

void CallerRequestHandler::AddOpenExchange(const ExchangePtr& exchange) {
  const RankedLock lock(this->mutex);
  if (this->open_exchanges.size() >= this->next_cleanup_size) {
    std::erase_if(this->open_exchanges,
                  [](const auto& open) { return open.expired(); });
    this->next_cleanup_size =
        std::max(2 * this->open_exchanges.size(), kMinCleanupSize);
  }
  this->open_exchanges.push_back(exchange);
}

void CallerRequestHandler::AnswerOpenRequests() {
  std::vector<std::weak_ptr<Exchange>> unanswered;
  {
    const RankedLock lock(this->mutex);
    unanswered.swap(this->open_exchanges);
  }
  for (const auto& open : unanswered) {
    if (const ExchangePtr exchange = open.lock()) {
      this->Answer(exchange, Refusal{Execution::kMayHaveRun,
                                     Reason::kDeadlineExceeded,
                                     "the process stops",
                                     {}});
    }
  }
}

template <class Request>
void CallerRequestHandler::CopyIdentifiers(Exchange& exchange,
                                           const Request& request) {
  exchange.request = request.request;
  exchange.customer = request.customer;
  exchange.service = request.service;
}

bool CallerRequestHandler::RefuseBeforeAdmission(const ExchangePtr& exchange,
                                                 const AnyError* error) {
  if (error != nullptr) {
    this->Answer(exchange, ToRefusal(*error));
    return true;
  }
  if (this->components.lifecycle.phase() == ProcessPhase::kStopping) {
    this->Answer(exchange,
                 Refusal{Execution::kDidNotRun, Reason::kStopping, "", {}});
    return true;
  }
  return false;
}

void CallerRequestHandler::Admit(
    const ExchangePtr& exchange,
    Duration deadline,
    std::function<void(const AdmissionPermit&, Duration remaining)> run) {
  const MonotonicTime end_by =
      std::min(exchange->arrived_at + deadline,
               this->components.lifecycle.drain_deadline());
  this->components.gate.Enter(
      {exchange->customer, exchange->service, end_by},
      [this, exchange, end_by, run = std::move(run)](GateDecision decision) {
        if (const auto* refusal = std::get_if<Refusal>(&decision)) {
          this->Answer(exchange, *refusal);
          return;
        }
        const Duration remaining = end_by - this->components.clock.Now();
        run(std::get<AdmissionPermit>(decision),
            std::max(remaining, std::chrono::microseconds(1)));
      });
}

void CallerRequestHandler::RunSearch(const ExchangePtr& exchange,
                                     const AdmissionPermit& permit,
                                     SearchRequest request) {
  DefaultPolicy policy;
  if (this->components.settings.tail_services.contains(request.service)) {
    policy.preference = Preference::kTail;
  }
  std::make_shared<RunningSearch<BackendClient, SystemClock>>(
      std::move(request), this->components.servers, this->components.client,
      this->components.clock, policy, this->seed + this->run_count++,
      [this, exchange, permit](const SearchOutcome& outcome) {
        std::visit([&](const auto& result) { this->Answer(exchange, result); },
                   outcome);
        this->components.gate.Leave(permit);
      })
      ->Start();
}

void CallerRequestHandler::RunAction(const ExchangePtr& exchange,
                                     const AdmissionPermit& permit,
                                     ActionRequest request) {
  using Running = RunningAction<LedgerClient, BackendClient, SystemClock>;
  std::make_shared<Running>(
      std::move(request), this->components.settings.actions,
      this->components.servers, this->components.ledger,
      this->components.client, this->components.clock,
      this->seed + this->run_count++,
      [this, exchange, permit,
       work_guard = this->components.lifecycle.TrackAction()](
          const ActionOutcome& outcome) {
        std::visit([&](const auto& result) { this->Answer(exchange, result); },
                   outcome);
        this->components.gate.Leave(permit);
      })
      ->Start();
}

void CallerRequestHandler::Answer(const ExchangePtr& exchange,
                                  const Refusal& refusal) {
  if (!exchange->TakeAnswer()) {
    return;
  }
  this->components.metrics.OnRefusal(exchange->kind, refusal,
                                     this->TimeSince(exchange->arrived_at));
  this->LogRequest(*exchange, ToString(refusal.execution),
                   ToString(refusal.reason), Fraction());
  this->AddNote(*exchange, ToString(refusal.execution),
                ToString(refusal.reason), refusal.detail);
  HttpResponse response;
  response.status = HttpStatusOf(refusal);
  response.body = EncodeRefusal(exchange->request, refusal);
  this->Respond(exchange, std::move(response));
}

void CallerRequestHandler::Answer(const ExchangePtr& exchange,
                                  const SearchAnswer& answer) {
  if (!exchange->TakeAnswer()) {
    return;
  }
  const Fraction coverage = Coverage(answer);
  this->components.metrics.OnAnswer(exchange->kind,
                                    this->TimeSince(exchange->arrived_at));
  this->components.metrics.OnCoverage(coverage);
  this->LogRequest(*exchange, ToString(Execution::kRan), "ok", coverage);
  if (!answer.missing.empty()) {
    this->AddNote(*exchange, ToString(Execution::kRan),
                  ToString(answer.missing.front().reason),
                  "shards are missing");
  }
  HttpResponse response;
  response.body = EncodeSearchAnswer(exchange->request, answer);
  this->Respond(exchange, std::move(response));
}

void CallerRequestHandler::Answer(const ExchangePtr& exchange,
                                  const ActionAnswer& answer) {
  if (!exchange->TakeAnswer()) {
    return;
  }
  this->components.metrics.OnAnswer(exchange->kind,
                                    this->TimeSince(exchange->arrived_at));
  this->LogRequest(*exchange, ToString(Execution::kRan), "ok", Fraction(1));
  HttpResponse response;
  response.body = EncodeActionAnswer(exchange->request, answer);
  this->Respond(exchange, std::move(response));
}

void CallerRequestHandler::Respond(const ExchangePtr& exchange,
                                   HttpResponse response) {
  exchange->respond(std::move(response));
  // An action may continue to run after its caller was answered.
  exchange->respond = nullptr;
  exchange->work_guard = nullptr;
}

void CallerRequestHandler::AddNote(const Exchange& exchange,
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
  this->components.notes.Add(this->components.clock.Now(), std::move(note));
}

void CallerRequestHandler::LogRequest(const Exchange& exchange,
                                      std::string_view verdict,
                                      std::string_view reason,
                                      Fraction coverage) {
  const std::uint64_t sampling_interval =
      this->components.settings.access_log_every;
  const bool is_always_logged = verdict == ToString(Execution::kMayHaveRun);
  if (!is_always_logged &&
      (sampling_interval == 0 ||
       this->loggable_requests++ % sampling_interval != 0)) {
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
            {"ms", ToMilliseconds(this->TimeSince(exchange.arrived_at))}});
}

Duration CallerRequestHandler::TimeSince(MonotonicTime start) const {
  return this->components.clock.Now() - start;
}

}  // namespace marigold
