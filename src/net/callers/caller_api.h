#ifndef SRC_NET_CALLERS_CALLER_API_H_
#define SRC_NET_CALLERS_CALLER_API_H_

#include "src/net/callers/caller_request_handler.h"
#include "src/net/callers/entry_components.h"
#include "src/net/http/http_server.h"

namespace marigold {

// Routes the HTTP requests of callers and operators to their handlers.
class CallerApi {
 public:
  explicit CallerApi(const EntryComponents& entry_components);

  void Handle(const HttpRequest& request, HttpResponder respond);

  // Answers all requests of callers that have no answer yet, because the
  // process stops.
  void AnswerOpenRequests() { this->request_handler.AnswerOpenRequests(); }

 private:
  using Handler = void (CallerApi::*)(const HttpRequest&, HttpResponder);

  struct Route {
    HttpMethod method;
    std::string_view path;
    Handler handler;
  };

  void HandleSearch(const HttpRequest& request, HttpResponder respond);
  void HandleAction(const HttpRequest& request, HttpResponder respond);
  void HandleHealth(const HttpRequest& request, HttpResponder respond);
  void HandleMetrics(const HttpRequest& request, HttpResponder respond);
  void HandleState(const HttpRequest& request, HttpResponder respond);
  EntryState BuildEntryState() const;

  EntryComponents components;
  CallerRequestHandler request_handler;
};

}  // namespace marigold

#endif  // SRC_NET_CALLERS_CALLER_API_H_
